package bbtcatalog

import "time"

// Kind says how often a route's requests may be executed.
type Kind uint8

// The kinds of routes. The zero value is the most restrictive one.
const (
	AtMostOnce Kind = iota // executed at most once per attempt of the caller
	Idempotent             // may be retried after any failure
	Streaming              // response is an event stream; executed at most once unless resumable
)

// String returns the kind's name in kebab case. Requests of a kind that this version does
// not know run at most once.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "at-most-once"
	}
}

// Route maps the requests under a path prefix of a domain to services. Its
// fields are exported because it is encoded for transfer between hosts.
type Route struct {
	Name             string        `cbor:"1,keyasint"`
	Domain           string        `cbor:"2,keyasint"` // host name in callers' requests
	Prefix           string        `cbor:"3,keyasint"` // starts and ends with a slash
	Kind             Kind          `cbor:"4,keyasint,omitempty"`
	Timeout          time.Duration `cbor:"5,keyasint"`           // maximum time that a caller waits
	LatencyObjective time.Duration `cbor:"6,keyasint,omitempty"` // target time to the response; for a stream, to its first event
	MaxEventGap      time.Duration `cbor:"7,keyasint,omitempty"` // target for the longest gap between two events
	Tier             int           `cbor:"8,keyasint,omitempty"` // priority; 0 is the highest
	MaxAttempts      int           `cbor:"9,keyasint"`           // endpoints that one attempt of the caller may be sent to
	Public           bool          `cbor:"10,keyasint,omitempty"`
	HasPrompt        bool          `cbor:"11,keyasint,omitempty"` // requests contain a prompt
	Resumable        bool          `cbor:"12,keyasint,omitempty"`
	Targets          []Target      `cbor:"13,keyasint"`
}

// Target is a service with its weight among a route's targets.
type Target struct {
	Service string  `cbor:"1,keyasint"`
	Weight  float64 `cbor:"2,keyasint"`
}

// Retryable reports whether a request may be executed more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickService returns the service for a point in [0, 1), in proportion to the
// targets' weights.
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point *= total
	for _, t := range r.Targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	if n := len(r.Targets); n > 0 {
		return r.Targets[n-1].Service
	}
	return ""
}

// AllowsService reports whether the route sends requests to the service.
func (r *Route) AllowsService(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}
