package bbtcatalog

import "time"

// Kind says how often a route's requests may run.
type Kind uint8

// The kinds of routes. The zero value is the cautious one.
const (
	AtMostOnce Kind = iota // runs at most once for each attempt of a caller
	Idempotent             // may run again after any failure
	Streaming              // answers with events; runs at most once unless it may be resumed
)

// String returns the kind's name in kebab case.
func (k Kind) String() string { return [...]string{"at-most-once", "idempotent", "streaming"}[k] }

// Route says where the requests below a path prefix of a host name go. It is
// passed between hosts, so its fields are exported.
type Route struct {
	Name        string        `cbor:"1,keyasint"`
	Domain      string        `cbor:"2,keyasint"` // host name that callers send
	Prefix      string        `cbor:"3,keyasint"` // begins and ends with a slash
	Kind        Kind          `cbor:"4,keyasint,omitempty"`
	Timeout     time.Duration `cbor:"5,keyasint"`           // longest time to keep a caller waiting
	Objective   time.Duration `cbor:"6,keyasint,omitempty"` // latency objective, to the first event of a stream
	MaxEventGap time.Duration `cbor:"7,keyasint,omitempty"` // longest gap between events that is on time
	Tier        int           `cbor:"8,keyasint,omitempty"` // 0 ranks highest
	MaxAttempts int           `cbor:"9,keyasint"`           // endpoints that one attempt of a caller may be sent to
	Public      bool          `cbor:"10,keyasint,omitempty"`
	HasPrompt   bool          `cbor:"11,keyasint,omitempty"` // requests carry prompts
	Resumable   bool          `cbor:"12,keyasint,omitempty"`
	Targets     []Target      `cbor:"13,keyasint"`
}

// Target is a service with its part of a route's requests.
type Target struct {
	Service string  `cbor:"1,keyasint"`
	Weight  float64 `cbor:"2,keyasint"`
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickService returns the service for a point in [0, 1), by the targets' weights.
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

// AllowsService reports whether the route's requests may go to the service.
func (r *Route) AllowsService(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}
