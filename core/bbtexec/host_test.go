package bbtexec_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtticket"
	"bluebelltray/core/bbtverdict"
)

// pair is two hosts whose messages arrive at once. Host a is home of each key.
type pair struct {
	t    *testing.T
	now  time.Time
	a, b *bbtexec.Executor
	last bbtexec.CallID

	ran      []bbtexec.CallID // calls handed to the scheduler, on either host
	answers  map[bbtexec.CallID]string
	refusals map[bbtexec.CallID]bbtexec.Refuse
	held     []bbtexec.Send // messages on the way, if hold is set
	hold     bool
}

func newPair(t *testing.T, opts ...bbtledger.Option) *pair {
	p := &pair{
		t:        t,
		now:      time.Unix(0, 0),
		answers:  make(map[bbtexec.CallID]string),
		refusals: make(map[bbtexec.CallID]bbtexec.Refuse),
	}
	p.a = p.process("a", 1, opts...)
	p.b = p.process("b", 1, opts...)
	p.pass(2 * time.Hour)
	return p
}

// process starts a process that knows the host list.
func (p *pair) process(h bbtfleet.HostID, inc bbtfleet.Incarnation, opts ...bbtledger.Option) *bbtexec.Executor {
	first := func(hosts []bbtfleet.HostID, _ uint64) bbtfleet.HostID { return hosts[0] }
	e := bbtexec.New(bbtticket.NewIssuer(h, inc, p.now, []byte(h)), bbtledger.NewLedger(opts...), bbthome.New(h, first))
	p.confirm(e)
	return e
}

func (p *pair) confirm(e *bbtexec.Executor) {
	hosts := []bbtfleet.Host{bbtfleet.NewHost("a", "edin-a"), bbtfleet.NewHost("b", "edin-a")}
	view := bbthome.NewView(bbtfleet.NewHostList(1, hosts))
	e.Step(p.now, bbtexec.ViewConfirmed{RequestedAt: p.now, View: view})
}

// pass lets time pass and the hosts read the list.
func (p *pair) pass(d time.Duration) {
	p.now = p.now.Add(d)
	p.confirm(p.a)
	p.confirm(p.b)
}

// step passes an event to a host and carries the actions out.
func (p *pair) step(e *bbtexec.Executor, ev bbtexec.Event) {
	for _, a := range e.Step(p.now, ev) {
		switch a := a.(type) {
		case bbtexec.Schedule:
			p.ran = append(p.ran, a.Call)
		case bbtexec.Response:
			p.answers[a.Call] = string(a.Response.Body())
		case bbtexec.Refuse:
			p.refusals[a.Call] = a
		case bbtexec.Send:
			if p.hold {
				p.held = append(p.held, a)
			} else {
				p.deliver(a)
			}
		}
	}
}

// deliver passes a message to its receiver.
func (p *pair) deliver(s bbtexec.Send) {
	to, from := p.a, bbtfleet.HostID("b")
	if s.To == "b" {
		to, from = p.b, "a"
	}
	p.last++
	p.step(to, bbtexec.Received{From: from, Call: p.last, Message: s.Message})
}

// submit sends a request and returns its call.
func (p *pair) submit(e *bbtexec.Executor, s bbtexec.Submit) bbtexec.CallID {
	p.last++
	s.Call = p.last
	if s.Account == "" {
		s.Account = "kitchen"
	}
	p.step(e, s)
	return s.Call
}

// ticket returns a fresh ticket of a host.
func (p *pair) ticket(e *bbtexec.Executor) string {
	p.t.Helper()
	r := p.refusals[p.submit(e, bbtexec.Submit{})]
	if r.Ticket == "" {
		p.t.Fatalf("got %v, want a ticket", r.Err)
	}
	return r.Ticket
}

// start presents a ticket to host a, dispatches the request and returns its
// call.
func (p *pair) start(ticket string) (bbtexec.CallID, bbtledger.Dispatch) {
	p.t.Helper()
	id := p.submit(p.a, bbtexec.Submit{Ticket: ticket})
	d, ok := p.a.Dispatch(p.now, id)
	if !ok {
		p.t.Fatal("got no dispatch")
	}
	return id, d
}

// finish ends a dispatch of host a with an answer.
func (p *pair) finish(id bbtexec.CallID, d bbtledger.Dispatch, body string) {
	p.step(p.a, bbtexec.Finished{Call: id, Dispatch: d, Response: bbtledger.NewResponse(200, "", []byte(body))})
}

// wantAnswer checks a call's answer.
func (p *pair) wantAnswer(id bbtexec.CallID, want string) {
	p.t.Helper()
	if got, ok := p.answers[id]; !ok || got != want {
		p.t.Errorf("call %d: got answer %q, refusal %v, want answer %q", id, got, p.refusals[id].Err, want)
	}
}

// wantRefusal checks a call's refusal.
func (p *pair) wantRefusal(id bbtexec.CallID, v bbtverdict.Verdict, r bbtverdict.Reason) {
	p.t.Helper()
	got := p.refusals[id].Err
	if got == nil || got.Verdict() != v || got.Reason() != r {
		p.t.Errorf("call %d: got %v, want %v: %v", id, got, v, r)
	}
}

// wantRuns checks how many calls were handed to the scheduler.
func (p *pair) wantRuns(want int) {
	p.t.Helper()
	if got := len(p.ran); got != want {
		p.t.Errorf("got %d runs, want %d", got, want)
	}
}
