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

// pair is two hosts, a and b, whose messages are delivered immediately unless
// hold is set. Host a is the home of every key.
type pair struct {
	t        *testing.T
	now      time.Time
	a, b     *bbtexec.Executor
	lastCall bbtexec.CallID

	scheduled []bbtexec.CallID // calls passed to the scheduler of either host
	responses map[bbtexec.CallID]string
	refusals  map[bbtexec.CallID]bbtexec.Refuse
	held      []bbtexec.Send // undelivered messages, oldest first
	hold      bool           // keep messages in held instead of delivering them
}

func newPair(t *testing.T, opts ...bbtledger.Option) *pair {
	p := &pair{
		t:         t,
		now:       time.Unix(0, 0),
		responses: make(map[bbtexec.CallID]string),
		refusals:  make(map[bbtexec.CallID]bbtexec.Refuse),
	}
	p.a = p.newProcess("a", 1, opts...)
	p.b = p.newProcess("b", 1, opts...)
	p.advance(2 * time.Hour)
	return p
}

// newProcess returns a new process of a host that has read the host list.
func (p *pair) newProcess(h bbtfleet.HostID, inc bbtfleet.Incarnation, opts ...bbtledger.Option) *bbtexec.Executor {
	selectFirst := func(hosts []bbtfleet.HostID, _ uint64) bbtfleet.HostID { return hosts[0] }
	e := bbtexec.New(bbtticket.NewIssuer(h, inc, p.now, []byte(h)), bbtledger.NewLedger(opts...), bbthome.New(h, selectFirst))
	p.confirm(e)
	return e
}

func (p *pair) confirm(e *bbtexec.Executor) {
	hosts := []bbtfleet.Host{bbtfleet.NewHost("a", "edin-a"), bbtfleet.NewHost("b", "edin-a")}
	view := bbthome.NewView(bbtfleet.NewHostList(1, hosts))
	e.Step(p.now, bbtexec.ViewConfirmed{RequestedAt: p.now, View: view})
}

// advance advances the time and lets both hosts read the host list.
func (p *pair) advance(d time.Duration) {
	p.now = p.now.Add(d)
	p.confirm(p.a)
	p.confirm(p.b)
}

// step passes an event to a host and carries out the resulting actions.
func (p *pair) step(e *bbtexec.Executor, ev bbtexec.Event) {
	for _, a := range e.Step(p.now, ev) {
		switch a := a.(type) {
		case bbtexec.Schedule:
			p.scheduled = append(p.scheduled, a.Call)
		case bbtexec.Response:
			p.responses[a.Call] = string(a.Response.Body())
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

// deliver passes a message to its destination.
func (p *pair) deliver(s bbtexec.Send) {
	to, from := p.a, bbtfleet.HostID("b")
	if s.To == "b" {
		to, from = p.b, "a"
	}
	p.lastCall++
	p.step(to, bbtexec.MessageReceived{From: from, Call: p.lastCall, Message: s.Message})
}

// submit submits a request and returns its call.
func (p *pair) submit(e *bbtexec.Executor, s bbtexec.Submit) bbtexec.CallID {
	p.lastCall++
	s.Call = p.lastCall
	if s.Account == "" {
		s.Account = "kitchen"
	}
	p.step(e, s)
	return s.Call
}

// ticket returns a new ticket from a host.
func (p *pair) ticket(e *bbtexec.Executor) string {
	p.t.Helper()
	r := p.refusals[p.submit(e, bbtexec.Submit{})]
	if r.Ticket == "" {
		p.t.Fatalf("got %v, want a ticket", r.Err)
	}
	return r.Ticket
}

// start submits a request with a ticket to host a, dispatches it and returns its
// call and dispatch.
func (p *pair) start(ticket string) (bbtexec.CallID, bbtledger.Dispatch) {
	p.t.Helper()
	id := p.submit(p.a, bbtexec.Submit{Ticket: ticket})
	d, ok := p.a.Dispatch(p.now, id)
	if !ok {
		p.t.Fatal("got no dispatch")
	}
	return id, d
}

// finish ends a dispatch on host a with a response.
func (p *pair) finish(id bbtexec.CallID, d bbtledger.Dispatch, body string) {
	p.step(p.a, bbtexec.Finished{Call: id, Dispatch: d, Response: bbtledger.NewResponse(200, "", []byte(body))})
}

// wantResponse checks that a call got the wanted response.
func (p *pair) wantResponse(id bbtexec.CallID, want string) {
	p.t.Helper()
	if got, ok := p.responses[id]; !ok || got != want {
		p.t.Errorf("call %d: got response %q, refusal %v, want response %q", id, got, p.refusals[id].Err, want)
	}
}

// wantRefusal checks that a call got the wanted refusal.
func (p *pair) wantRefusal(id bbtexec.CallID, v bbtverdict.Verdict, r bbtverdict.Reason) {
	p.t.Helper()
	got := p.refusals[id].Err
	if got == nil || got.Verdict() != v || got.Reason() != r {
		p.t.Errorf("call %d: got %v, want %v: %v", id, got, v, r)
	}
}

// wantScheduled checks how often calls were passed to the scheduler.
func (p *pair) wantScheduled(want int) {
	p.t.Helper()
	if got := len(p.scheduled); got != want {
		p.t.Errorf("got %d calls scheduled, want %d", got, want)
	}
}
