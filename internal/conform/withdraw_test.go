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
	ownerDelay     = 2 * time.Second  // maximum delay until an owner learns of a change
	entryDelay     = 20 * time.Second // maximum delay until the entry host learns of a change
	permitLifetime = time.Second
	timeStep       = 100 * time.Millisecond
	farFuture      = time.Hour // an applied change gets a due time this far ahead
)

// pool simulates two endpoints with one owner each, and one entry host. Messages are
// delayed and reordered. The entry host may learn of changes much later than the owners.
type pool struct {
	t           *rapid.T
	now         time.Time
	start       time.Time
	entry       *bbtroute.Entry
	owners      map[bbtfleet.HostID]*bbtgrant.Owner
	endpoints   map[bbtfleet.HostID]bbtfleet.Endpoint
	withdrawn   map[bbtfleet.HostID]bool
	changesDue  map[bbtfleet.HostID][]time.Time // when the owner and the entry host learn of the latest change
	messages    []func()
	lastRequest bbtgrant.RequestID
	trace       []Event
}

var ownerIDs = []bbtfleet.HostID{"owner-1", "owner-2"}

func newPool(t *rapid.T) *pool {
	now := time.Unix(0, 0)
	p := &pool{
		t: t, now: now, start: now,
		entry:      bbtroute.New("entry-1", now),
		owners:     make(map[bbtfleet.HostID]*bbtgrant.Owner),
		endpoints:  make(map[bbtfleet.HostID]bbtfleet.Endpoint),
		withdrawn:  make(map[bbtfleet.HostID]bool),
		changesDue: make(map[bbtfleet.HostID][]time.Time),
	}
	for _, id := range ownerIDs {
		p.owners[id] = bbtgrant.New(bbtgrant.WithPermitLifetime(permitLifetime))
		p.endpoints[id] = bbtfleet.NewEndpoint(bbtfleet.EndpointID("llm-"+id), "edin-a", bbtfleet.ModelEngine, "summary", bbtfleet.WithSlots(2))
		p.updateOwner(id)
	}
	p.updateEntry()
	return p
}

// updateOwner informs an owner whether its endpoint is in service.
func (p *pool) updateOwner(id bbtfleet.HostID) {
	var owned []bbtfleet.Endpoint
	if !p.withdrawn[id] {
		owned = append(owned, p.endpoints[id])
	}
	p.sendOwnerActions(id, p.owners[id].SetEndpoints(p.now, owned))
}

// updateEntry informs the entry host which endpoints are in service.
func (p *pool) updateEntry() {
	var targets []bbtroute.Target
	for _, id := range ownerIDs {
		if !p.withdrawn[id] {
			targets = append(targets, bbtroute.Target{Endpoint: p.endpoints[id], Owner: id})
		}
	}
	p.performEntryActions(p.entry.SetTargets(p.now, targets))
}

// sendOwnerActions sends an owner's actions to the entry host.
func (p *pool) sendOwnerActions(from bbtfleet.HostID, actions []bbtgrant.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtgrant.Grant:
			p.messages = append(p.messages, func() { p.performEntryActions(p.entry.Granted(p.now, from, a.Permit)) })
		case bbtgrant.Shed:
			p.messages = append(p.messages, func() { p.performEntryActions(p.entry.WasShed(p.now, from, a)) })
		}
	}
}

// performEntryActions performs the entry host's actions.
func (p *pool) performEntryActions(actions []bbtroute.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtroute.Dispatch:
			p.trace = append(p.trace, RequestDispatched{a.Endpoint, p.now, p.start.Add(a.Permit.Expiry)})
			p.messages = append(p.messages, func() {
				p.performEntryActions(p.entry.Finished(p.now, a.Request, bbtroute.Outcome{Kind: bbtgrant.Finished}))
			})
		case bbtroute.Send:
			p.messages = append(p.messages, func() { p.receive(a) })
		}
	}
}

// receive passes a message of the entry host to the owner that it is addressed to.
func (p *pool) receive(s bbtroute.Send) {
	o := p.owners[s.To]
	switch m := s.Message.(type) {
	case bbtgrant.Registration:
		p.sendOwnerActions(s.To, o.Register(p.now, "entry-1", m))
	case bbtgrant.Withdrawal:
		p.sendOwnerActions(s.To, o.Withdraw(p.now, "entry-1", m.Request))
	case bbtgrant.Return:
		p.sendOwnerActions(s.To, o.Return(p.now, "entry-1", m.Permit))
	case bbtgrant.DispatchEnded:
		p.sendOwnerActions(s.To, o.DispatchEnded(p.now, "entry-1", m))
	}
}

// toggleEndpoint takes an endpoint out of service or puts it back. Owner and entry host
// learn of it later, at different times.
func (p *pool) toggleEndpoint() {
	id := rapid.SampledFrom(ownerIDs).Draw(p.t, "owner")
	if len(p.changesDue[id]) > 0 {
		return
	}
	p.withdrawn[id] = !p.withdrawn[id]
	ep := p.endpoints[id].ID()
	if p.withdrawn[id] {
		p.trace = append(p.trace, EndpointWithdrawn{ep, p.now})
	} else {
		p.trace = append(p.trace, EndpointRestored{ep})
	}
	for _, most := range []time.Duration{ownerDelay, entryDelay} {
		late := rapid.IntRange(0, int(most/timeStep)).Draw(p.t, "late")
		p.changesDue[id] = append(p.changesDue[id], p.now.Add(time.Duration(late)*timeStep))
	}
}

// applyDueChanges informs the hosts of the changes that are due.
func (p *pool) applyDueChanges() {
	for _, id := range ownerIDs {
		due := p.changesDue[id]
		if len(due) == 2 && !p.now.Before(due[0]) {
			p.updateOwner(id)
			due[0] = p.now.Add(farFuture)
		}
		if len(due) == 2 && !p.now.Before(due[1]) {
			p.updateEntry()
			due[1] = p.now.Add(farFuture)
		}
		if len(due) == 2 && due[0].Sub(p.now) > entryDelay && due[1].Sub(p.now) > entryDelay {
			p.changesDue[id] = nil
		}
	}
}

// step performs one random step.
func (p *pool) step() {
	switch n := rapid.IntRange(0, 99).Draw(p.t, "step"); {
	case n < 5:
		p.lastRequest++
		p.performEntryActions(p.entry.Submit(p.now, bbtroute.Request{ID: p.lastRequest, Pool: "summary", Account: "desk", Tier: 1,
			Deadline: p.now.Add(time.Minute), InputTokens: 10, OutputTokens: 10}))
	case n < 80 && len(p.messages) > 0:
		i := rapid.IntRange(0, len(p.messages)-1).Draw(p.t, "message")
		deliver := p.messages[i]
		p.messages = append(p.messages[:i:i], p.messages[i+1:]...)
		deliver()
	case n < 83:
		p.toggleEndpoint()
	default:
		p.now = p.now.Add(timeStep)
		p.applyDueChanges()
		for _, id := range ownerIDs {
			p.sendOwnerActions(id, p.owners[id].ConfirmView(p.now))
			p.sendOwnerActions(id, p.owners[id].Tick(p.now))
		}
		p.performEntryActions(p.entry.Tick(p.now))
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
		for _, holds := range []func([]Event) error{NoneExpired, NoDispatchAfterWithdrawal(ownerDelay + permitLifetime)} {
			if err := holds(p.trace); err != nil {
				t.Fatal(err)
			}
		}
	})
	if dispatched == 0 {
		t.Error("got no dispatch, want at least one")
	}
	t.Logf("%d dispatches", dispatched)
}
