package bbtledger_test

import (
	"flag"
	"testing"
	"time"

	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtverdict"
	"pgregory.net/rapid"
)

// The bounds of the test's ledger.
const (
	maxEntries = 8
	maxBytes   = 20
	account    = "kitchen"
	lifetime   = 10 * time.Second
	retention  = 20 * time.Second
)

// model is a ledger and what an observer knows of its tickets.
type model struct {
	ledger  *bbtledger.Ledger
	now     time.Time
	tickets []*ticket
}

// ticket is what is known of one ticket.
type ticket struct {
	seq      uint64
	expiry   time.Time
	dispatch bbtledger.Dispatch
	left     bool // its first byte may have left
	ended    bool // it was refused for good
}

// one draws a ticket and applies do to it.
func (m *model) one(do func(t *rapid.T, k *ticket)) func(*rapid.T) {
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

func (m *model) begin(_ *rapid.T, k *ticket) { m.ledger.Present(m.now, k.seq, account, 1) }

func (m *model) dispatch(t *rapid.T, k *ticket) {
	d, ok := m.ledger.Dispatch(m.now, k.seq)
	if !ok {
		return
	}
	if k.left || k.ended || !m.now.Before(k.expiry) || d == k.dispatch {
		t.Fatalf("ticket %d: got dispatch %d after %+v", k.seq, d, k)
	}
	k.dispatch = d
	k.left = true
}

func (m *model) retract(_ *rapid.T, k *ticket) {
	if m.ledger.Retract(k.seq, k.dispatch) {
		k.left = false
	}
}

func (m *model) finish(t *rapid.T, k *ticket) {
	number := k.dispatch - bbtledger.Dispatch(rapid.IntRange(0, 1).Draw(t, "former"))
	body := make([]byte, rapid.IntRange(0, 2*maxBytes).Draw(t, "bytes"))
	done := m.ledger.Finish(k.seq, number, bbtledger.NewResponse(200, "", body))
	if done && (number != k.dispatch || !k.left) {
		t.Fatalf("ticket %d: got an answer of dispatch %d accepted, want %d", k.seq, number, k.dispatch)
	}
}

func (m *model) lose(_ *rapid.T, k *ticket) { m.ledger.MarkUnknown(k.seq, k.dispatch) }

func (m *model) void(t *rapid.T, k *ticket) {
	if !m.ledger.Void(k.seq, account) {
		return
	}
	if k.left {
		t.Fatalf("ticket %d: got void after its first byte may have left", k.seq)
	}
	k.ended = true
}

func (m *model) withdraw(_ *rapid.T, k *ticket) { m.ledger.Withdraw(k.seq, account) }

func (m *model) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second)
	m.ledger.Expire(m.now)
	for _, k := range m.tickets {
		state := m.ledger.State(k.seq, account)
		over := !m.now.Before(k.expiry.Add(retention))
		waits := state == bbtledger.Waiting || state == bbtledger.Dispatching
		if held := m.ledger.Contains(k.seq, account); over && held != waits {
			t.Fatalf("ticket %d: got held %v in state %v after its retention", k.seq, held, state)
		}
	}
}

// check compares the ledger with what is known.
func (m *model) check(t *rapid.T) {
	held := 0
	for _, k := range m.tickets {
		a, _ := m.ledger.Response(k.seq, account)
		held += len(a.Body())
		state := m.ledger.State(k.seq, account)
		if k.left && state.Verdict() == bbtverdict.NotRun {
			t.Fatalf("ticket %d: got %v after its first byte may have left", k.seq, state)
		}
		if m.ledger.Contains(k.seq, "another") {
			t.Fatalf("ticket %d: got it shown to another account", k.seq)
		}
	}
	if got := m.ledger.ResponseBytes(); got != held || got > maxBytes {
		t.Fatalf("got %d bytes of answers counted, %d held, want at most %d", got, held, maxBytes)
	}
}

func TestExpiredTicketsThatNeverRanMakeRoom(t *testing.T) {
	now := time.Unix(0, 0)
	l := bbtledger.NewLedger(bbtledger.WithLifetime(lifetime), bbtledger.WithRetention(retention), bbtledger.WithEntries(2))
	ran, _, _ := l.Issue(now, account)
	l.Present(now, ran, account, 1)
	d, _ := l.Dispatch(now, ran)
	l.Finish(ran, d, bbtledger.NewResponse(200, "", nil))
	never, expiry, _ := l.Issue(now, account)
	if _, _, ok := l.Issue(expiry.Add(-time.Second), account); ok {
		t.Error("got a ticket while a live one holds the room")
	}
	if got := l.State(never, account); got != bbtledger.Issued {
		t.Errorf("got %v before it is needed, want issued", got)
	}
	if _, _, ok := l.Issue(expiry, account); !ok {
		t.Error("got no ticket in the room of an expired one")
	}
	if got := l.State(never, account); got != bbtledger.Unknown {
		t.Errorf("got %v for the removed ticket, want unknown", got)
	}
	if _, _, ok := l.Issue(expiry, account); ok || l.State(ran, account) != bbtledger.Finished {
		t.Error("got the outcome of a request that ran dropped before its time")
	}
	l.Expire(expiry.Add(retention))
	if got := l.Len(); got != 1 {
		t.Errorf("got %d entries after the retention, want the newest alone", got)
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
			bbtledger.WithEntries(maxEntries), bbtledger.WithResponseBytes(maxBytes))}
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"issue":    m.issue,
			"begin":    m.one(m.begin),
			"dispatch": m.one(m.dispatch),
			"retract":  m.one(m.retract),
			"finish":   m.one(m.finish),
			"lose":     m.one(m.lose),
			"void":     m.one(m.void),
			"withdraw": m.one(m.withdraw),
			"pass":     m.pass,
		})
	})
}
