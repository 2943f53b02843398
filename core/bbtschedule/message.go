package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtpromise"
)

// The messages below are exchanged between hosts. Their fields are exported for
// the codec.

// RequestID identifies a request within the host that received it from its
// caller.
type RequestID uint64

// Registration requests a permit from the owner.
type Registration struct {
	ID                   RequestID     `cbor:"1,keyasint"`
	Service              string        `cbor:"2,keyasint"`
	Account              string        `cbor:"3,keyasint,omitempty"`
	Tier                 int           `cbor:"4,keyasint,omitempty"` // priority; 0 is the highest
	PromptTokens         int           `cbor:"5,keyasint,omitempty"`
	MaxOutputTokens      int           `cbor:"6,keyasint,omitempty"`
	Cost                 float64       `cbor:"7,keyasint,omitempty"`  // counted against the account's rate
	RemainingTime        time.Duration `cbor:"8,keyasint"`            // until the caller's deadline
	RemainingObjective   time.Duration `cbor:"9,keyasint,omitempty"`  // remainder of EffectiveObjective; negative once it is missed
	MaxEventGap          time.Duration `cbor:"10,keyasint,omitempty"` // longest time allowed between events of the stream
	PromptBlocks         []PromptBlock `cbor:"11,keyasint,omitempty"` // in order
	Attempt              int           `cbor:"12,keyasint,omitempty"` // 0 for the first
	Retry                bool          `cbor:"13,keyasint,omitempty"` // the request was sent to an endpoint before
	Exclude              []string      `cbor:"14,keyasint,omitempty"` // endpoints that must not be used
	Fingerprint          uint64        `cbor:"15,keyasint,omitempty"` // hash that is equal for equal requests of a caller; 0 for none
	EffectiveObjective   time.Duration `cbor:"17,keyasint,omitempty"` // latency objective from arrival to first event; the request's timeout if the route has none
	ExpectedOutputTokens int           `cbor:"19,keyasint,omitempty"` // as given by the caller; 0 if unknown
	Zone                 string        `cbor:"18,keyasint,omitempty"` // availability zone of the host that received the request
	Uncharged            bool          `cbor:"21,keyasint,omitempty"` // no endpoint has run the request, so that its cost was refunded
	RouteTier            int           `cbor:"22,keyasint,omitempty"` // of the route; ranks the requests of accounts of one tier where room is kept for tiers
	Silent               RequestID     `cbor:"20,keyasint,omitempty"` // registration of the dispatch that goes on at a silent endpoint unless this one is permitted; 0 for none
}

// PromptBlock is a block of a prompt that several requests may share.
type PromptBlock struct {
	ID     uint64 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Withdrawal cancels a registration, and returns its permit if one has been issued
// that the host has not received.
type Withdrawal struct {
	ID      RequestID `cbor:"1,keyasint"`
	Attempt int       `cbor:"2,keyasint,omitempty"`
}

// Pending identifies a registration that a host has no reply to.
type Pending struct {
	ID      RequestID `cbor:"1,keyasint"`
	Attempt int       `cbor:"2,keyasint,omitempty"`
}

// Permit allows a host to send a request to an endpoint.
type Permit struct {
	ID            RequestID     `cbor:"1,keyasint"`
	Attempt       int           `cbor:"2,keyasint,omitempty"`
	Endpoint      string        `cbor:"3,keyasint"`
	Address       string        `cbor:"4,keyasint"`
	SpeedEstimate SpeedEstimate `cbor:"5,keyasint,omitzero"`
	Running       int           `cbor:"6,keyasint,omitempty"` // requests at the endpoint, this one included
	StartTimeMS   int64         `cbor:"7,keyasint,omitempty"` // of the endpoint's incarnation
}

// Incarnation returns the incarnation of the endpoint that the permit is for.
func (p Permit) Incarnation() Incarnation { return Incarnation{p.Endpoint, p.Address, p.StartTimeMS} }

// SpeedEstimate is the speed of an endpoint as the owner has measured it.
// Permits carry it to the hosts, so that the next owner need not measure it
// again.
type SpeedEstimate struct {
	PrefillMsPerToken float32 `cbor:"1,keyasint,omitempty"` // 0 if unknown
	EventGapMs        float32 `cbor:"2,keyasint,omitempty"` // 0 if unknown
	ResponseMs        float32 `cbor:"3,keyasint,omitempty"` // of a plain call; 0 if unknown
	Takes             int     `cbor:"5,keyasint,omitempty"` // slots that the endpoint takes well; 0 if that is not asked
	FirstEvents       int     `cbor:"4,keyasint,omitempty"` // since the endpoint appeared, as counted by this owner or reported by a former one
}

// Refusal denies a registered request its permit.
type Refusal struct {
	ID         RequestID     `cbor:"1,keyasint"`
	Attempt    int           `cbor:"2,keyasint,omitempty"`
	Reason     string        `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Ahead      int           `cbor:"5,keyasint,omitempty"` // queued requests that would have gone before it
	Wait       time.Duration `cbor:"6,keyasint,omitempty"` // expected time in the queue

	Promise bbtpromise.Promise `cbor:"7,keyasint,omitzero"` // behind RetryAfter, for the next owner
}

// FirstEvent reports that the first event of a request's answer, or the whole
// answer of a plain call, has arrived.
type FirstEvent struct {
	ID       RequestID   `cbor:"1,keyasint"`
	Limit    StatedLimit `cbor:"2,keyasint,omitzero"`
	Draining Incarnation `cbor:"3,keyasint,omitzero"` // the endpoint, if it has said to the host that it is draining
}

// StatedLimit is the rate of requests that an endpoint states in an answer to take
// from all hosts together. The zero value is that of a dispatch without an answer.
type StatedLimit struct {
	Answered  bool    `cbor:"1,keyasint,omitempty"`
	Limited   bool    `cbor:"2,keyasint,omitempty"` // the answer states a limit
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
}

// Outcome is how a dispatch ended.
type Outcome uint8

// Outcomes of a dispatch.
const (
	Finished       Outcome = iota // complete answer
	Rejected                      // the endpoint answered that it did not run the request
	Unreachable                   // connection not established, nothing was sent
	Failed                        // the endpoint ran the request and answered with an error
	ConnectionLost                // the connection ended before the answer was complete
	Cancelled                     // the caller disconnected or its deadline passed
	Unused                        // the permit was not used
	IdleTimeout                   // aborted as no data arrived for too long
	Misdirected                   // not run by the server at the address, which is another one
)

// String returns the outcome as it appears in dispatch logs and counter names.
func (o Outcome) String() string {
	return [...]string{"finished", "rejected", "unreachable", "failed", "broken", "cancelled", "unused", "silent", "misdirected"}[o]
}

// MayHaveRun reports whether an endpoint may have run a request whose dispatch ended
// so.
func (o Outcome) MayHaveRun() bool {
	switch o {
	case Rejected, Unreachable, Misdirected, Unused:
		return false
	default:
		return true
	}
}

// Done reports the end of the dispatch under a permit.
type Done struct {
	ID       RequestID     `cbor:"1,keyasint"`
	Attempt  int           `cbor:"2,keyasint,omitempty"`
	Outcome  Outcome       `cbor:"3,keyasint,omitempty"`
	Events   int           `cbor:"4,keyasint,omitempty"`
	Span     time.Duration `cbor:"5,keyasint,omitempty"` // from the first event to the last
	Limit    StatedLimit   `cbor:"6,keyasint,omitzero"`  // unless a FirstEvent has reported it
	Draining Incarnation   `cbor:"7,keyasint,omitzero"`  // the endpoint, if it has said to the host that it is draining
	Pause    Pause         `cbor:"8,keyasint,omitzero"`  // of the endpoint, if it has said to the host that it wants no requests
}

// Takeover reports to a new owner the dispatches in progress and the usage
// counted under its predecessor.
type Takeover struct {
	Running      []Running     `cbor:"1,keyasint,omitempty"`
	AccountUsage []Usage       `cbor:"2,keyasint,omitempty"`
	Retries      []Usage       `cbor:"3,keyasint,omitempty"`
	Learned      Learned       `cbor:"4,keyasint,omitzero"`
	Limits       []Limit       `cbor:"5,keyasint,omitempty"` // that endpoints stated to this host
	Again        bool          `cbor:"6,keyasint,omitempty"` // repeated since the owner lacked it
	Last         RequestID     `cbor:"7,keyasint,omitempty"` // of the host's requests until then
	Draining     []Incarnation `cbor:"8,keyasint,omitempty"` // endpoints that have said so to this host
	Pauses       []Pause       `cbor:"9,keyasint,omitempty"` // of endpoints that have said so to this host

	Promises []ServicePromise `cbor:"10,keyasint,omitempty"` // that callers of this host were given
}

// ServicePromise is a promise of a service to a caller.
type ServicePromise struct {
	Service string             `cbor:"1,keyasint"`
	Promise bbtpromise.Promise `cbor:"2,keyasint"`
}

// Limit is what an endpoint stated in its latest answer to a host.
type Limit struct {
	Endpoint    string        `cbor:"1,keyasint"`
	Limit       StatedLimit   `cbor:"2,keyasint"`
	Age         time.Duration `cbor:"3,keyasint,omitempty"`
	Address     string        `cbor:"4,keyasint,omitempty"` // of the endpoint, IP:port; empty if the host does not tell which process stated it
	StartTimeMS int64         `cbor:"5,keyasint,omitempty"` // of its process
}

// Incarnation returns the incarnation of the endpoint that stated the limit.
func (l Limit) Incarnation() Incarnation { return Incarnation{l.Endpoint, l.Address, l.StartTimeMS} }

// Learned is what owners have found out that a new one must not have to find out
// again.
type Learned struct {
	Quarantines []Quarantine `cbor:"1,keyasint,omitempty"`
}

// Quarantine describes requests that are refused since they crash endpoints: those
// that have all of the traits.
type Quarantine struct {
	Blocks      []uint64      `cbor:"1,keyasint,omitempty"` // of the prompt
	Fingerprint uint64        `cbor:"2,keyasint,omitempty"` // of the whole request; 0 for none
	Remaining   time.Duration `cbor:"3,keyasint"`           // negative if it is over and no such request was answered since
	Times       int           `cbor:"4,keyasint"`           // that it was imposed
}

// Usage is what one host's requests used of an account's limit, or of a
// service's retry budget, at an earlier time.
type Usage struct {
	Account string        `cbor:"1,keyasint,omitempty"`
	Service string        `cbor:"2,keyasint,omitempty"`
	Age     time.Duration `cbor:"3,keyasint,omitempty"`
	Amount  float64       `cbor:"4,keyasint"`
}

// Running is a dispatch in progress.
type Running struct {
	Registration Registration  `cbor:"1,keyasint"`
	Endpoint     string        `cbor:"2,keyasint"`
	FirstEvent   bool          `cbor:"3,keyasint,omitempty"` // whether it has arrived
	Elapsed      time.Duration `cbor:"4,keyasint"`           // since the permit
}

// Probe tells a host that the sender uses it as its owner, and requests a
// ProbeReply.
type Probe struct {
	Pending []Pending `cbor:"1,keyasint,omitempty"` // registrations without a reply for long
}

// Lacks is what an owner does not know of a host that follows it.
type Lacks uint8

// What an owner lacks of a host's state.
const (
	LacksNothing    Lacks = iota
	LacksDispatches       // it took the host for dead and dropped its dispatches
	LacksEverything       // no Takeover of the host has arrived at the process
)

// ProbeReply answers a Probe with the state that the next owner would need, with those
// of the probe's registrations that are not known, and with what the host has to tell
// again.
type ProbeReply struct {
	Unknown     []Pending `cbor:"4,keyasint,omitempty"`
	Lacks       Lacks     `cbor:"5,keyasint,omitempty"`
	Deficits    []Deficit `cbor:"1,keyasint,omitempty"`
	Learned     Learned   `cbor:"3,keyasint,omitzero"`
	Incarnation uint64    `cbor:"2,keyasint,omitempty"` // of the replying process; a new process at the same address has no state
}

// Deficit is how far an account's remaining allowance is below its burst.
type Deficit struct {
	Account string  `cbor:"1,keyasint" json:"account"`
	Units   float64 `cbor:"2,keyasint" json:"lacks"`
}

// Message is a message to an owner or to an entry host.
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
