// Package bbtexec implements the state machine with which one host runs each
// request at most once. It combines tickets, the ledger and the homes of
// idempotency keys, which are the hosts asked first for a ticket of a key. It does
// no I/O: a driver passes events in and carries out the actions that it returns.
package bbtexec

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtticket"
)

// IssueTimeout is how long this host waits for a key's home to issue a ticket.
// It bounds the age of a ticket when the caller receives it.
const IssueTimeout = 2 * time.Second

// Executor is the state machine of one host. It is not safe for concurrent use.
type Executor struct {
	issuer   *bbtticket.Issuer
	ledger   *bbtledger.Ledger
	registry *bbthome.Registry
	calls    map[CallID]*call
	attached map[uint64][]CallID                      // calls attached to a ledger entry, by its sequence number; the first one was scheduled
	pending  map[uint64]pendingReply                  // by the ID of the message's Request
	peers    map[bbtfleet.HostID]bbtfleet.Incarnation // newest known incarnation of each peer
	lastID   uint64                                   // ID of the newest request to a peer
	unsent   replyQueue
	draining bool
	counts   Counts
	actions  []Action // of the current step
}

// New returns the executor of a process that has just started.
func New(issuer *bbtticket.Issuer, ledger *bbtledger.Ledger, registry *bbthome.Registry) *Executor {
	return &Executor{
		issuer:   issuer,
		ledger:   ledger,
		registry: registry,
		calls:    make(map[CallID]*call),
		attached: make(map[uint64][]CallID),
		pending:  make(map[uint64]pendingReply),
		peers:    make(map[bbtfleet.HostID]bbtfleet.Incarnation),
	}
}

// Counts returns the numbers of dropped messages and ignored outcomes since the
// start.
func (e *Executor) Counts() Counts {
	c := e.counts
	c.droppedReplies = e.unsent.dropped
	return c
}

// Calls returns the number of calls that have not ended.
func (e *Executor) Calls() int { return len(e.calls) }

// Draining reports whether a graceful shutdown has started.
func (e *Executor) Draining() bool { return e.draining }

// Step processes an event and returns the resulting actions in order.
func (e *Executor) Step(now time.Time, ev Event) []Action {
	e.actions = nil
	switch ev := ev.(type) {
	case Submit:
		e.submit(now, ev)
	case MessageReceived:
		e.received(now, ev)
	case SendFailed:
		e.sendFailed(now, ev)
	case PeerIncarnation:
		e.peerIncarnation(now, ev)
	case PeerLost:
		e.peerLost(now, ev.Host)
	case NotExecuted:
		e.notExecuted(ev)
	case Finished:
		e.finished(ev)
	case Lost:
		e.lost(ev)
	case Rejected:
		e.rejected(now, ev)
	case CallerDisconnected:
		e.callerDisconnected(ev.Call)
	case ViewConfirmed:
		e.registry.Confirm(now, ev.RequestedAt, ev.View)
	case Drain:
		e.draining = true
	case Tick:
		e.tick(now)
	}
	return e.actions
}

// Dispatch records that a call is about to be sent to the endpoint that the
// scheduler chose. It must be called with the current time, immediately before
// the first byte is written. If it reports false, nothing may be written.
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

// emit adds an action to the result of the current step.
func (e *Executor) emit(a Action) { e.actions = append(e.actions, a) }

// send sends a message on behalf of a call and records that its reply is
// pending.
func (e *Executor) send(now time.Time, c *call, to bbtfleet.HostID, build func(Request) Message) {
	e.lastID++
	e.pending[e.lastID] = pendingReply{call: c.id, to: to}
	c.sentAt = now
	m := build(Request{Incarnation: e.issuer.Incarnation(), ID: e.lastID})
	a := Send{To: to, Message: m}
	if _, ok := m.(ForwardRequest); ok {
		a.Call = c.id
	}
	e.emit(a)
}

// Active reports whether a call has not ended.
func (e *Executor) Active(id CallID) bool { return e.calls[id] != nil }
