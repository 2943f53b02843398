package bbtschedule

import "time"

// The messages below travel between hosts. Their fields are exported because
// the codec needs it.

// RequestID names a request at the host that took it from its caller.
type RequestID uint64

// Registration asks the owner for a permit.
type Registration struct {
	ID                   RequestID     `cbor:"1,keyasint"`
	Service              string        `cbor:"2,keyasint"`
	Account              string        `cbor:"3,keyasint,omitempty"`
	Tier                 int           `cbor:"4,keyasint,omitempty"`
	PromptTokens         int           `cbor:"5,keyasint,omitempty"` // tokens
	MaxOutputTokens      int           `cbor:"6,keyasint,omitempty"` // tokens at most
	Cost                 float64       `cbor:"7,keyasint,omitempty"` // against the account's rate
	RemainingTime        time.Duration `cbor:"8,keyasint"`           // until the caller gives up
	RemainingObjective   time.Duration `cbor:"9,keyasint,omitempty"` // left of the latency objective; negative once it is missed
	MaxEventGap          time.Duration `cbor:"10,keyasint,omitempty"`
	PromptBlocks         []PromptBlock `cbor:"11,keyasint,omitempty"` // of the prompt, in order
	Attempt              int           `cbor:"12,keyasint,omitempty"` // 0 for the first
	Retry                bool          `cbor:"13,keyasint,omitempty"` // an endpoint was sent the request before
	Exclude              []string      `cbor:"14,keyasint,omitempty"` // endpoints not to be used
	Fingerprint          uint64        `cbor:"15,keyasint,omitempty"` // fingerprint of the request
	LatencyObjective     time.Duration `cbor:"17,keyasint,omitempty"` // the whole latency objective
	ExpectedOutputTokens int           `cbor:"19,keyasint,omitempty"` // output tokens that the caller expects; 0 if it says nothing
	Zone                 string        `cbor:"18,keyasint,omitempty"` // availability zone of the host that took it
}

// PromptBlock is a piece of a prompt that requests may share.
type PromptBlock struct {
	ID     uint64 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Withdrawal takes a registration back.
type Withdrawal struct {
	ID RequestID `cbor:"1,keyasint"`
}

// Permit lets a host send a request to an endpoint.
type Permit struct {
	ID            RequestID     `cbor:"1,keyasint"`
	Attempt       int           `cbor:"2,keyasint,omitempty"`
	Endpoint      string        `cbor:"3,keyasint"`
	Address       string        `cbor:"4,keyasint"`
	SpeedEstimate SpeedEstimate `cbor:"5,keyasint,omitzero"`
	Running       int           `cbor:"6,keyasint,omitempty"` // requests at the endpoint, this one included
}

// SpeedEstimate is what an owner has learnt of an endpoint. It travels with permits, so
// that the next owner need not learn it anew.
type SpeedEstimate struct {
	PrefillMsPerToken float32 `cbor:"1,keyasint,omitempty"` // ms to read a prompt token; 0 if unknown
	EventGapMs        float32 `cbor:"2,keyasint,omitempty"` // ms between events; 0 if unknown
	ResponseMs        float32 `cbor:"3,keyasint,omitempty"` // ms of a plain call; 0 if unknown
	FirstEvents       int     `cbor:"4,keyasint,omitempty"` // first events since it was cold
}

// Refusal says that a registered request gets no permit.
type Refusal struct {
	ID         RequestID     `cbor:"1,keyasint"`
	Attempt    int           `cbor:"2,keyasint,omitempty"`
	Reason     string        `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Ahead      int           `cbor:"5,keyasint,omitempty"` // requests that would have gone before it
	Wait       time.Duration `cbor:"6,keyasint,omitempty"` // expected until its turn
}

// FirstEvent says that a request's first event or answer has arrived.
type FirstEvent struct {
	ID RequestID `cbor:"1,keyasint"`
}

// Outcome says how a dispatch ended.
type Outcome uint8

// The outcomes of a dispatch.
const (
	Finished       Outcome = iota // whole answer
	Rejected                      // the endpoint said that it did not run the request
	Unreachable                   // no connection, nothing was sent
	Failed                        // the endpoint ran the request and answered with a failure
	ConnectionLost                // the connection ended before the answer did
	Cancelled                     // the caller left or its time ran out
	Unused                        // nothing was sent under the permit
	IdleTimeout                   // given up as nothing came for too long
)

// String returns the outcome's name in kebab case.
func (o Outcome) String() string {
	return [...]string{"finished", "rejected", "unreachable", "failed", "broken", "cancelled", "unused", "silent"}[o]
}

// Done says how the dispatch under a permit ended.
type Done struct {
	ID      RequestID     `cbor:"1,keyasint"`
	Attempt int           `cbor:"2,keyasint,omitempty"`
	Outcome Outcome       `cbor:"3,keyasint,omitempty"`
	Events  int           `cbor:"4,keyasint,omitempty"`
	Span    time.Duration `cbor:"5,keyasint,omitempty"` // from the first event to the last
}

// Takeover tells a new owner what runs and what was spent under the former one.
type Takeover struct {
	Running      []Running `cbor:"1,keyasint,omitempty"`
	AccountUsage []Usage   `cbor:"2,keyasint,omitempty"`
	Retries      []Usage   `cbor:"3,keyasint,omitempty"`
}

// Usage is what one host's requests used of an account's limit, or of a service's
// repeats, some time ago.
type Usage struct {
	Account string        `cbor:"1,keyasint,omitempty"`
	Service string        `cbor:"2,keyasint,omitempty"`
	Age     time.Duration `cbor:"3,keyasint,omitempty"`
	Amount  float64       `cbor:"4,keyasint"`
}

// Running is a dispatch under way.
type Running struct {
	Registration Registration  `cbor:"1,keyasint"`
	Endpoint     string        `cbor:"2,keyasint"`
	FirstEvent   bool          `cbor:"3,keyasint,omitempty"`
	Elapsed      time.Duration `cbor:"4,keyasint"` // since its permit
}

// Probe tells an owner that the sender follows it, and asks for a sign of life.
type Probe struct{}

// ProbeReply answers a Probe. It tells what the next owner would have to know.
type ProbeReply struct {
	Deficits    []Deficit `cbor:"1,keyasint,omitempty"`
	Incarnation uint64    `cbor:"2,keyasint,omitempty"` // of the process that tells; a new one at the same address knows nothing
}

// Deficit is what an account lacks of its burst.
type Deficit struct {
	Account string  `cbor:"1,keyasint" json:"account"`
	Units   float64 `cbor:"2,keyasint" json:"lacks"` // units
}

// Message is any of the messages to an owner or to an entry host.
type Message interface{ message() }

func (Registration) message() {}
func (Withdrawal) message()   {}
func (Permit) message()       {}
func (Refusal) message()      {}
func (FirstEvent) message()   {}
func (Done) message()         {}
func (Takeover) message()     {}
func (Probe) message()        {}
func (ProbeReply) message()   {}
