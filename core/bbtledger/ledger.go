package bbtledger

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Ledger holds the state of each ticket of one process. It is not safe for
// concurrent use.
type Ledger struct {
	lifetime   time.Duration
	retention  time.Duration
	maxEntries int
	maxAccount int
	maxBytes   int

	entries map[uint64]*entry
	account map[bbtfleet.AccountID]int
	next    uint64   // next sequence number to issue
	scanned uint64   // sequence numbers below were removed or are late
	swept   uint64   // sequence numbers below have expired and were looked at for room
	late    []uint64 // tickets whose time is over but which still wait or run
	answers []uint64 // finished tickets in the order of their answers
	bytes   int
}

// NewLedger returns an empty ledger.
func NewLedger(opts ...Option) *Ledger {
	l := &Ledger{
		lifetime:   DefaultLifetime,
		retention:  DefaultRetention,
		maxEntries: DefaultEntries,
		maxAccount: DefaultAccountEntries,
		maxBytes:   DefaultResponseBytes,
		entries:    make(map[uint64]*entry),
		account:    make(map[bbtfleet.AccountID]int),
		next:       1,
		scanned:    1,
		swept:      1,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Len returns the number of tickets held.
func (l *Ledger) Len() int { return len(l.entries) }

// ResponseBytes returns the bytes held for finished answers.
func (l *Ledger) ResponseBytes() int { return l.bytes }

// Issue reserves an entry for a new ticket and returns its sequence number and
// expiry. It reports false when the ledger or the account's share is full.
func (l *Ledger) Issue(now time.Time, account bbtfleet.AccountID) (uint64, time.Time, bool) {
	l.Expire(now)
	if l.full(account) {
		l.sweep(now)
	}
	if l.full(account) {
		return 0, time.Time{}, false
	}
	seq := l.next
	l.next++
	e := &entry{account: account, expiry: now.Add(l.lifetime), state: Issued}
	l.entries[seq] = e
	l.account[account]++
	return seq, e.expiry, true
}

// full reports whether the ledger or the account's share is full.
func (l *Ledger) full(account bbtfleet.AccountID) bool {
	return len(l.entries) >= l.maxEntries || l.account[account] >= l.maxAccount
}

// sweep makes room before retention ends: it removes expired tickets that
// never ran. Whoever presents one later is told that it may have run.
func (l *Ledger) sweep(now time.Time) {
	for ; l.swept < l.next; l.swept++ {
		e := l.entries[l.swept]
		if e == nil {
			continue
		}
		if now.Before(e.expiry) {
			return
		}
		if !e.state.Presented() {
			l.remove(l.swept, e)
		}
	}
}

// State returns the state of an account's ticket. A ticket of another account
// is Unknown.
func (l *Ledger) State(seq uint64, account bbtfleet.AccountID) State {
	if e := l.lookup(seq, account); e != nil {
		return e.state
	}
	return Unknown
}

// Contains reports whether the ledger holds an entry of an account's ticket.
func (l *Ledger) Contains(seq uint64, account bbtfleet.AccountID) bool {
	return l.lookup(seq, account) != nil
}

// lookup returns the account's entry, or nil.
func (l *Ledger) lookup(seq uint64, account bbtfleet.AccountID) *entry {
	if e := l.entries[seq]; e != nil && e.account == account {
		return e
	}
	return nil
}

// Expire removes the tickets whose retention is over. A ticket that waits or
// runs stays until it is settled.
func (l *Ledger) Expire(now time.Time) {
	l.late = slices.DeleteFunc(l.late, l.removeSettled)
	defer l.trimAnswers()
	for ; l.scanned < l.next; l.scanned++ {
		e := l.entries[l.scanned]
		if e == nil {
			continue
		}
		if now.Before(e.expiry.Add(l.retention)) {
			return
		}
		if !l.removeSettled(l.scanned) {
			l.late = append(l.late, l.scanned)
		}
	}
}

// removeSettled removes the entry unless it still waits or runs.
func (l *Ledger) removeSettled(seq uint64) bool {
	e := l.entries[seq]
	if !e.settled() {
		return false
	}
	l.remove(seq, e)
	return true
}

// remove takes an entry out of the ledger.
func (l *Ledger) remove(seq uint64, e *entry) {
	l.dropAnswer(e)
	delete(l.entries, seq)
	l.account[e.account]--
	if l.account[e.account] == 0 {
		delete(l.account, e.account)
	}
}

// trimAnswers forgets the oldest finished tickets that hold no answer any more.
func (l *Ledger) trimAnswers() {
	for len(l.answers) > 0 {
		if e := l.entries[l.answers[0]]; e != nil && e.state == Finished {
			return
		}
		l.answers = l.answers[1:]
	}
}

// dropAnswer releases the answer's bytes and keeps that the request ran.
func (l *Ledger) dropAnswer(e *entry) {
	if e.state != Finished {
		return
	}
	l.bytes -= e.answer.size()
	e.answer = Response{}
	e.state = Evicted
}
