package bbtledger_test

import (
	"flag"
	"testing"
	"time"

	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtverdict"
	"pgregory.net/rapid"
)

// The account and the limits of the ledger under test.
const (
	maxEntries       = 8
	maxResponseBytes = 20
	account          = "kitchen"
	lifetime         = 10 * time.Second
	retention        = 20 * time.Second
)

// model holds the ledger under test and the expected states of its tickets.
type model struct {
	ledger  *bbtledger.Ledger
	now     time.Time
	tickets []*ticket
}

// ticket is the expected state of one ticket.
type ticket struct {
	seq      uint64
	expiry   time.Time
	dispatch bbtledger.Dispatch
	sent     bool // the first byte of its request may have been sent
	voided   bool
}

// onTicket returns an action that draws a ticket and applies do to it.
func (m *model) onTicket(do func(t *rapid.T, k *ticket)) func(*rapid.T) {
	return func(t *rapid.T) {
		if len(m.tickets) == 0 {
			t.Skip("no ticket yet")
		}
		do(t, rapid.SampledFrom(m.tickets).Draw(t, "ticket"))
	}
}

func (m *model) issue(t *rapid.T) {
	full := m.ledger.Len() >= maxEntries
	seq, expiry, ok := m.ledger.Issue(m.now, account)
	if !ok {
		return
	}
	if full && m.ledger.Len() > maxEntries {
		t.Fatalf("got %d entries, want at most %d", m.ledger.Len(), maxEntries)
	}
	m.tickets = append(m.tickets, &ticket{seq: seq, expiry: expiry})
}

func (m *model) redeem(_ *rapid.T, k *ticket) { m.ledger.Redeem(m.now, k.seq, account, 1) }

func (m *model) dispatch(t *rapid.T, k *ticket) {
	d, ok := m.ledger.Dispatch(m.now, k.seq)
	if !ok {
		return
	}
	if k.sent || k.voided || !m.now.Before(k.expiry) || d == k.dispatch {
		t.Fatalf("ticket %d: got dispatch %d after %+v", k.seq, d, k)
	}
	k.dispatch = d
	k.sent = true
}

func (m *model) retract(_ *rapid.T, k *ticket) {
	if m.ledger.Retract(k.seq, k.dispatch) {
		k.sent = false
	}
}

func (m *model) finish(t *rapid.T, k *ticket) {
	number := k.dispatch - bbtledger.Dispatch(rapid.IntRange(0, 1).Draw(t, "previous"))
	body := make([]byte, rapid.IntRange(0, 2*maxResponseBytes).Draw(t, "bytes"))
	done := m.ledger.Finish(k.seq, number, bbtledger.NewResponse(200, "", body))
	if done && (number != k.dispatch || !k.sent) {
		t.Fatalf("ticket %d: got a response of dispatch %d accepted, want only %d", k.seq, number, k.dispatch)
	}
}

func (m *model) markUnknown(_ *rapid.T, k *ticket) { m.ledger.MarkUnknown(k.seq, k.dispatch) }

func (m *model) void(t *rapid.T, k *ticket) {
	if !m.ledger.Void(k.seq, account) {
		return
	}
	if k.sent {
		t.Fatalf("ticket %d: got it void after its first byte may have been sent", k.seq)
	}
	k.voided = true
}

func (m *model) withdraw(_ *rapid.T, k *ticket) { m.ledger.Withdraw(k.seq, account) }

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second)
	m.ledger.Expire(m.now)
	for _, k := range m.tickets {
		state := m.ledger.State(k.seq, account)
		expired := !m.now.Before(k.expiry.Add(retention))
		active := state == bbtledger.Waiting || state == bbtledger.Dispatching
		if held := m.ledger.Contains(k.seq, account); expired && held != active {
			t.Fatalf("ticket %d: got held %v in state %v after its retention", k.seq, held, state)
		}
	}
}

// check compares the ledger with the expected states.
func (m *model) check(t *rapid.T) {
	held := 0
	for _, k := range m.tickets {
		r, _ := m.ledger.Response(k.seq, account)
		held += len(r.Body())
		state := m.ledger.State(k.seq, account)
		if k.sent && state.Verdict() == bbtverdict.NotRun {
			t.Fatalf("ticket %d: got %v after its first byte may have been sent", k.seq, state)
		}
		if m.ledger.Contains(k.seq, "another") {
			t.Fatalf("ticket %d: got it visible to another account", k.seq)
		}
	}
	if got := m.ledger.ResponseBytes(); got != held || got > maxResponseBytes {
		t.Fatalf("got %d bytes of responses counted, %d held, want at most %d", got, held, maxResponseBytes)
	}
}

func TestUnusedTicketsAreReclaimedAfterExpiry(t *testing.T) {
	now := time.Unix(0, 0)
	l := bbtledger.NewLedger(bbtledger.WithLifetime(lifetime), bbtledger.WithRetention(retention), bbtledger.WithEntries(2))
	ran, _, _ := l.Issue(now, account)
	l.Redeem(now, ran, account, 1)
	d, _ := l.Dispatch(now, ran)
	l.Finish(ran, d, bbtledger.NewResponse(200, "", nil))
	unused, expiry, _ := l.Issue(now, account)
	if _, _, ok := l.Issue(expiry.Add(-time.Second), account); ok {
		t.Error("got a ticket while an unexpired one fills the ledger")
	}
	if got := l.State(unused, account); got != bbtledger.Issued {
		t.Errorf("got %v before its expiry, want issued", got)
	}
	if _, _, ok := l.Issue(expiry, account); !ok {
		t.Error("got no ticket although an unused one has expired")
	}
	if got := l.State(unused, account); got != bbtledger.Unknown {
		t.Errorf("got %v for the reclaimed ticket, want unknown", got)
	}
	if _, _, ok := l.Issue(expiry, account); ok || l.State(ran, account) != bbtledger.Finished {
		t.Error("got a finished ticket removed before the end of its retention")
	}
	l.Expire(expiry.Add(retention))
	if got := l.Len(); got != 1 {
		t.Errorf("got %d entries after the retention, want only the newest", got)
	}
}

func TestLedgerAgainstModel(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "80", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: time.Unix(0, 0), ledger: bbtledger.NewLedger(
			bbtledger.WithLifetime(lifetime), bbtledger.WithRetention(retention),
			bbtledger.WithEntries(maxEntries), bbtledger.WithResponseBytes(maxResponseBytes))}
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"issue":    m.issue,
			"begin":    m.onTicket(m.redeem),
			"dispatch": m.onTicket(m.dispatch),
			"retract":  m.onTicket(m.retract),
			"finish":   m.onTicket(m.finish),
			"lose":     m.onTicket(m.markUnknown),
			"void":     m.onTicket(m.void),
			"withdraw": m.onTicket(m.withdraw),
			"pass":     m.advance,
		})
	})
}
