// Package bbtexec joins tickets, the ledger and the homes of idempotency keys
// into the state machine of one host that runs each request at most once. Its
// driver moves bytes: it passes events in and carries actions out.
package bbtexec

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtticket"
)

// IssueTimeout is how long a ticket may take from the question to a key's home
// to the caller. It bounds the age at which a ticket is handed out.
const IssueTimeout = 2 * time.Second

// Executor is the state of one host. It is not safe for concurrent use.
type Executor struct {
	issuer   *bbtticket.Issuer
	ledger   *bbtledger.Ledger
	home     *bbthome.Home
	calls    map[CallID]*call
	attached map[uint64][]CallID // calls of a ledger entry; the first runs
	pending  map[uint64]pending
	peers    map[bbtfleet.HostID]bbtfleet.Incarnation // newest known process of each peer
	nextID   uint64
	unsent   replies
	draining bool
	counts   Counts
	out      []Action
}

// New returns the executor of a process that has just started.
func New(issuer *bbtticket.Issuer, ledger *bbtledger.Ledger, home *bbthome.Home) *Executor {
	return &Executor{
		issuer:   issuer,
		ledger:   ledger,
		home:     home,
		calls:    make(map[CallID]*call),
		attached: make(map[uint64][]CallID),
		pending:  make(map[uint64]pending),
		peers:    make(map[bbtfleet.HostID]bbtfleet.Incarnation),
	}
}

// Counts returns the drops since the start.
func (e *Executor) Counts() Counts {
	c := e.counts
	c.lostReplies = e.unsent.lost
	return c
}

// Calls returns the number of calls that are not yet over.
func (e *Executor) Calls() int { return len(e.calls) }

// Draining reports whether a graceful shutdown has started.
func (e *Executor) Draining() bool { return e.draining }

// Step takes an event and returns the actions it causes, in order.
func (e *Executor) Step(now time.Time, ev Event) []Action {
	e.out = nil
	switch ev := ev.(type) {
	case Submit:
		e.submit(now, ev)
	case Received:
		e.received(now, ev)
	case SendFailed:
		e.sendFailed(now, ev)
	case PeerIncarnation:
		e.peerSeen(now, ev)
	case PeerLost:
		e.peerLost(now, ev.Host)
	case NotExecuted:
		e.notSent(ev)
	case Finished:
		e.finished(ev)
	case Lost:
		e.lost(ev)
	case Rejected:
		e.rejected(now, ev)
	case CallerDisconnected:
		e.callerGone(ev.Call)
	case ViewConfirmed:
		e.home.Confirm(now, ev.RequestedAt, ev.View)
	case Drain:
		e.draining = true
	case Tick:
		e.tick(now)
	}
	return e.out
}

// Dispatch passes the point of no return for a call that the scheduler gave an
// endpoint to. It must be called on the current clock immediately before the
// first byte is written; nothing may be written if it reports false.
func (e *Executor) Dispatch(now time.Time, id CallID) (bbtledger.Dispatch, bool) {
	c := e.calls[id]
	if c == nil {
		return 0, false
	}
	if !c.repeatable {
		return e.ledger.Dispatch(now, c.seq)
	}
	c.dispatch++
	return c.dispatch, true
}

// do adds an action.
func (e *Executor) do(a Action) { e.out = append(e.out, a) }

// send adds a message that awaits a reply for the call.
func (e *Executor) send(now time.Time, c *call, to bbtfleet.HostID, build func(Request) Message) {
	e.nextID++
	e.pending[e.nextID] = pending{call: c.id, to: to}
	c.asked = now
	m := build(Request{Incarnation: e.issuer.Incarnation(), ID: e.nextID})
	a := Send{To: to, Message: m}
	if _, ok := m.(ForwardRequest); ok {
		a.Call = c.id
	}
	e.do(a)
}

// Active reports whether a call is not yet over.
func (e *Executor) Active(id CallID) bool { return e.calls[id] != nil }
