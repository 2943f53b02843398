package conform

import (
	"flag"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtroute"
	"pgregory.net/rapid"
)

const (
	learnTime  = 2 * time.Second  // within which an owner learns of a change
	lagTime    = 20 * time.Second // within which the entry host does
	permitLife = time.Second
	quantum    = 100 * time.Millisecond
	never      = time.Hour
)

// pool is two endpoints with an owner each, and one entry host. Messages are
// late and overtake one another; the entry host learns much later than owners.
type pool struct {
	t       *rapid.T
	now     time.Time
	start   time.Time
	entry   *bbtroute.Entry
	owners  map[bbtfleet.HostID]*bbtgrant.Owner
	records map[bbtfleet.HostID]bbtfleet.Endpoint
	out     map[bbtfleet.HostID]bool
	due     map[bbtfleet.HostID][]time.Time // when the owner and the entry host learn
	net     []func()
	next    bbtgrant.RequestID
	trace   []Event
}

var poolHosts = []bbtfleet.HostID{"owner-1", "owner-2"}

func newPool(t *rapid.T) *pool {
	now := time.Unix(0, 0)
	p := &pool{
		t: t, now: now, start: now,
		entry:   bbtroute.New("entry-1", now),
		owners:  make(map[bbtfleet.HostID]*bbtgrant.Owner),
		records: make(map[bbtfleet.HostID]bbtfleet.Endpoint),
		out:     make(map[bbtfleet.HostID]bool),
		due:     make(map[bbtfleet.HostID][]time.Time),
	}
	for _, id := range poolHosts {
		p.owners[id] = bbtgrant.New(bbtgrant.WithPermitLifetime(permitLife))
		p.records[id] = bbtfleet.NewEndpoint(bbtfleet.EndpointID("llm-"+id), "edin-a", bbtfleet.ModelEngine, "summary", bbtfleet.WithSlots(2))
		p.own(id)
	}
	p.view()
	return p
}

// own tells an owner whether its endpoint is in service.
func (p *pool) own(id bbtfleet.HostID) {
	var owned []bbtfleet.Endpoint
	if !p.out[id] {
		owned = append(owned, p.records[id])
	}
	p.granted(id, p.owners[id].SetEndpoints(p.now, owned))
}

// view tells the entry host which endpoints are in service.
func (p *pool) view() {
	var targets []bbtroute.Target
	for _, id := range poolHosts {
		if !p.out[id] {
			targets = append(targets, bbtroute.Target{Endpoint: p.records[id], Owner: id})
		}
	}
	p.route(p.entry.View(p.now, targets))
}

// granted sends an owner's actions to the entry host.
func (p *pool) granted(from bbtfleet.HostID, actions []bbtgrant.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtgrant.Grant:
			p.net = append(p.net, func() { p.route(p.entry.Granted(p.now, from, a.Permit)) })
		case bbtgrant.Shed:
			p.net = append(p.net, func() { p.route(p.entry.WasShed(p.now, from, a)) })
		}
	}
}

// route carries out the entry host's actions.
func (p *pool) route(actions []bbtroute.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtroute.Dispatch:
			p.trace = append(p.trace, RequestDispatched{a.Endpoint, p.now, p.start.Add(a.Permit.Expiry)})
			p.net = append(p.net, func() {
				p.route(p.entry.Finished(p.now, a.Request, bbtroute.Outcome{Kind: bbtgrant.Finished}))
			})
		case bbtroute.Send:
			p.net = append(p.net, func() { p.receive(a) })
		}
	}
}

// receive passes a message to its owner.
func (p *pool) receive(s bbtroute.Send) {
	o := p.owners[s.To]
	switch m := s.Message.(type) {
	case bbtgrant.Registration:
		p.granted(s.To, o.Register(p.now, "entry-1", m))
	case bbtgrant.Withdrawal:
		p.granted(s.To, o.Withdraw(p.now, "entry-1", m.Request))
	case bbtgrant.Return:
		p.granted(s.To, o.Return(p.now, "entry-1", m.Permit))
	case bbtgrant.DispatchEnded:
		p.granted(s.To, o.DispatchEnded(p.now, "entry-1", m))
	}
}

// change takes an endpoint out or brings it back; both hosts learn it late.
func (p *pool) change() {
	id := rapid.SampledFrom(poolHosts).Draw(p.t, "owner")
	if len(p.due[id]) > 0 {
		return
	}
	p.out[id] = !p.out[id]
	ep := p.records[id].ID()
	if p.out[id] {
		p.trace = append(p.trace, EndpointWithdrawn{ep, p.now})
	} else {
		p.trace = append(p.trace, EndpointRestored{ep})
	}
	for _, most := range []time.Duration{learnTime, lagTime} {
		late := rapid.IntRange(0, int(most/quantum)).Draw(p.t, "late")
		p.due[id] = append(p.due[id], p.now.Add(time.Duration(late)*quantum))
	}
}

// learn lets the hosts learn what is due.
func (p *pool) learn() {
	for _, id := range poolHosts {
		d := p.due[id]
		if len(d) == 2 && !p.now.Before(d[0]) {
			p.own(id)
			d[0] = p.now.Add(never)
		}
		if len(d) == 2 && !p.now.Before(d[1]) {
			p.view()
			d[1] = p.now.Add(never)
		}
		if len(d) == 2 && d[0].Sub(p.now) > lagTime && d[1].Sub(p.now) > lagTime {
			p.due[id] = nil
		}
	}
}

// step does one thing at random.
func (p *pool) step() {
	switch n := rapid.IntRange(0, 99).Draw(p.t, "step"); {
	case n < 5:
		p.next++
		p.route(p.entry.Submit(p.now, bbtroute.Request{ID: p.next, Pool: "summary", Account: "desk", Tier: 1,
			Deadline: p.now.Add(time.Minute), InputTokens: 10, OutputTokens: 10}))
	case n < 80 && len(p.net) > 0:
		i := rapid.IntRange(0, len(p.net)-1).Draw(p.t, "message")
		deliver := p.net[i]
		p.net = append(p.net[:i:i], p.net[i+1:]...)
		deliver()
	case n < 83:
		p.change()
	default:
		p.now = p.now.Add(quantum)
		p.learn()
		for _, id := range poolHosts {
			p.granted(id, p.owners[id].ConfirmView(p.now))
			p.granted(id, p.owners[id].Tick(p.now))
		}
		p.route(p.entry.Tick(p.now))
	}
}

func TestNoDispatchToWithdrawnEndpoint(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true", "rapid.shrinktime": "1s"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	dispatched := 0
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(t)
		for range 2000 {
			p.step()
		}
		for _, ev := range p.trace {
			if _, ok := ev.(RequestDispatched); ok {
				dispatched++
			}
		}
		for _, holds := range []func([]Event) error{NoneExpired, NoDispatchAfterWithdrawal(learnTime + permitLife)} {
			if err := holds(p.trace); err != nil {
				t.Fatal(err)
			}
		}
	})
	if dispatched == 0 {
		t.Error("got no dispatch at all")
	}
	t.Logf("%d dispatches", dispatched)
}
