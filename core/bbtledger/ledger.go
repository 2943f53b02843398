package bbtledger

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Ledger holds the states of the tickets that one process issued. It is not
// safe for concurrent use.
type Ledger struct {
	lifetime          time.Duration
	retention         time.Duration
	maxEntries        int
	maxAccountEntries int
	maxResponseBytes  int

	entries       map[uint64]*entry
	account       map[bbtfleet.AccountID]int // number of entries of each account
	nextSequence  uint64                     // sequence number of the next ticket
	expireCursor  uint64                     // tickets with lower sequence numbers were removed or are overdue
	reclaimCursor uint64                     // tickets with lower sequence numbers were handled by reclaimUnused
	overdue       []uint64                   // tickets past their retention whose request still waits or runs
	responses     []uint64                   // finished tickets, oldest response first; may hold tickets that were removed
	responseBytes int
}

// NewLedger returns an empty ledger.
func NewLedger(opts ...Option) *Ledger {
	l := &Ledger{
		lifetime:          DefaultLifetime,
		retention:         DefaultRetention,
		maxEntries:        DefaultEntries,
		maxAccountEntries: DefaultAccountEntries,
		maxResponseBytes:  DefaultResponseBytes,
		entries:           make(map[uint64]*entry),
		account:           make(map[bbtfleet.AccountID]int),
		nextSequence:      1,
		expireCursor:      1,
		reclaimCursor:     1,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Len returns the number of tickets held.
func (l *Ledger) Len() int { return len(l.entries) }

// ResponseBytes returns the total size of the responses held.
func (l *Ledger) ResponseBytes() int { return l.responseBytes }

// Issue reserves an entry for a new ticket and returns its sequence number and
// expiry. It reports false if the ledger or the account has reached its limit.
func (l *Ledger) Issue(now time.Time, account bbtfleet.AccountID) (uint64, time.Time, bool) {
	l.Expire(now)
	if l.full(account) {
		l.reclaimUnused(now)
	}
	if l.full(account) {
		return 0, time.Time{}, false
	}
	seq := l.nextSequence
	l.nextSequence++
	e := &entry{account: account, expiry: now.Add(l.lifetime), state: Issued}
	l.entries[seq] = e
	l.account[account]++
	return seq, e.expiry, true
}

// full reports whether the ledger or the account has reached its limit.
func (l *Ledger) full(account bbtfleet.AccountID) bool {
	return len(l.entries) >= l.maxEntries || l.account[account] >= l.maxAccountEntries
}

// reclaimUnused removes expired tickets whose request never ran, before their
// retention ends. A caller that sends such a ticket later is told that the
// request may have run.
func (l *Ledger) reclaimUnused(now time.Time) {
	for ; l.reclaimCursor < l.nextSequence; l.reclaimCursor++ {
		e := l.entries[l.reclaimCursor]
		if e == nil {
			continue
		}
		if now.Before(e.expiry) {
			return
		}
		if !e.state.Redeemed() {
			l.remove(l.reclaimCursor, e)
		}
	}
}

// State returns the state of an account's ticket. It is Unknown for a ticket of
// another account.
func (l *Ledger) State(seq uint64, account bbtfleet.AccountID) State {
	if e := l.lookup(seq, account); e != nil {
		return e.state
	}
	return Unknown
}

// Contains reports whether the ledger holds an entry for the account's ticket.
func (l *Ledger) Contains(seq uint64, account bbtfleet.AccountID) bool {
	return l.lookup(seq, account) != nil
}

// lookup returns the entry of the account's ticket, or nil.
func (l *Ledger) lookup(seq uint64, account bbtfleet.AccountID) *entry {
	if e := l.entries[seq]; e != nil && e.account == account {
		return e
	}
	return nil
}

// Expire removes the tickets whose retention has ended. A ticket whose request
// waits or runs is kept until that ends.
func (l *Ledger) Expire(now time.Time) {
	l.overdue = slices.DeleteFunc(l.overdue, l.removeIfDone)
	defer l.trimResponses()
	for ; l.expireCursor < l.nextSequence; l.expireCursor++ {
		e := l.entries[l.expireCursor]
		if e == nil {
			continue
		}
		if now.Before(e.expiry.Add(l.retention)) {
			return
		}
		if !l.removeIfDone(l.expireCursor) {
			l.overdue = append(l.overdue, l.expireCursor)
		}
	}
}

// removeIfDone removes the entry unless its request still waits or runs.
func (l *Ledger) removeIfDone(seq uint64) bool {
	e := l.entries[seq]
	if !e.removable() {
		return false
	}
	l.remove(seq, e)
	return true
}

// remove deletes an entry and releases its response.
func (l *Ledger) remove(seq uint64, e *entry) {
	l.evictResponse(e)
	delete(l.entries, seq)
	l.account[e.account]--
	if l.account[e.account] == 0 {
		delete(l.account, e.account)
	}
}

// trimResponses drops the tickets at the front of the list that no longer hold
// a response.
func (l *Ledger) trimResponses() {
	for len(l.responses) > 0 {
		if e := l.entries[l.responses[0]]; e != nil && e.state == Finished {
			return
		}
		l.responses = l.responses[1:]
	}
}

// evictResponse releases the response but still records that the request ran.
func (l *Ledger) evictResponse(e *entry) {
	if e.state != Finished {
		return
	}
	l.responseBytes -= e.response.size()
	e.response = Response{}
	e.state = Evicted
}
