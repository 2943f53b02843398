package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtroute"
	"bluebelltray/core/bbtverdict"
)

// direct is a policy without owners: each host picks endpoints using only its
// own dispatches and delayed load reports.
type direct struct {
	pick      func(d *direct, candidates []*endpointState) *endpointState
	sharers   int  // each host may use 1/sharers of an endpoint's slots, but at least one; zero means that in-flight requests are not limited
	byTier    bool // order the queue by tier, then by deadline
	rng       *rand.Rand
	nextIndex int
	pools     map[bbtfleet.PoolID][]*endpointState
	byID      map[bbtfleet.EndpointID]*endpointState
	waiting   []bbtroute.Request
	running   map[bbtgrant.RequestID]dispatchedRequest
}

// endpointState is what a host knows about an endpoint.
type endpointState struct {
	record      bbtfleet.Endpoint
	inFlight    int // requests in flight from this host
	sinceReport int // dispatches from this host since lastReport
	lastReport  bbtgrant.LoadReport
}

// dispatchedRequest is a request in flight on an endpoint.
type dispatchedRequest struct {
	request  bbtroute.Request
	endpoint bbtfleet.EndpointID
	losses   int // dispatches of the request that were lost
}

func newDirect(rng *rand.Rand, sharers int, byTier bool, pick func(*direct, []*endpointState) *endpointState) *direct {
	return &direct{pick: pick, sharers: sharers, byTier: byTier, rng: rng, byID: make(map[bbtfleet.EndpointID]*endpointState), running: make(map[bbtgrant.RequestID]dispatchedRequest)}
}

func roundRobin(d *direct, candidates []*endpointState) *endpointState {
	d.nextIndex++
	return candidates[d.nextIndex%len(candidates)]
}

func leastLoaded(_ *direct, candidates []*endpointState) *endpointState {
	return slices.MinFunc(candidates, func(a, b *endpointState) int { return a.load() - b.load() })
}

func twoChoices(d *direct, candidates []*endpointState) *endpointState {
	a, b := candidates[d.rng.IntN(len(candidates))], candidates[d.rng.IntN(len(candidates))]
	if a.load()+a.sinceReport <= b.load()+b.sinceReport {
		return a
	}
	return b
}

func leastInFlight(_ *direct, candidates []*endpointState) *endpointState {
	return slices.MinFunc(candidates, func(a, b *endpointState) int { return a.inFlight - b.inFlight })
}

func (e *endpointState) load() int { return e.lastReport.Running + e.lastReport.Queued }

func (d *direct) SetTargets(now time.Time, targets []bbtroute.Target) []bbtroute.Action {
	d.pools = make(map[bbtfleet.PoolID][]*endpointState)
	for _, t := range targets {
		e := d.byID[t.Endpoint.ID()]
		if e == nil {
			e = &endpointState{record: t.Endpoint}
			d.byID[t.Endpoint.ID()] = e
		}
		d.pools[t.Endpoint.Pool()] = append(d.pools[t.Endpoint.Pool()], e)
	}
	return d.dispatchWaiting(now)
}

func (d *direct) Submit(now time.Time, r bbtroute.Request) []bbtroute.Action {
	d.waiting = append(d.waiting, r)
	if d.byTier {
		slices.SortStableFunc(d.waiting, func(a, b bbtroute.Request) int {
			if a.Tier != b.Tier {
				return int(a.Tier) - int(b.Tier)
			}
			return a.Deadline.Compare(b.Deadline)
		})
	}
	return d.dispatchWaiting(now)
}

// dispatchWaiting dispatches, in queue order, the requests for which an endpoint
// has a free slot.
func (d *direct) dispatchWaiting(time.Time) []bbtroute.Action {
	var out []bbtroute.Action
	d.waiting = slices.DeleteFunc(d.waiting, func(r bbtroute.Request) bool {
		var candidates []*endpointState
		for _, e := range d.pools[r.Pool] {
			if !slices.Contains(r.Exclude, e.record.ID()) && (d.sharers == 0 || e.inFlight < max(1, e.record.Slots()/d.sharers)) {
				candidates = append(candidates, e)
			}
		}
		if len(candidates) == 0 {
			return false
		}
		e := d.pick(d, candidates)
		e.inFlight++
		e.sinceReport++
		previous := d.running[r.ID]
		d.running[r.ID] = dispatchedRequest{request: r, endpoint: e.record.ID(), losses: previous.losses}
		out = append(out, bbtroute.Dispatch{Request: r.ID, Endpoint: e.record.ID()})
		return true
	})
	return out
}

func (d *direct) Cancel(_ time.Time, id bbtgrant.RequestID) []bbtroute.Action {
	if _, ok := d.running[id]; ok {
		return []bbtroute.Action{bbtroute.Stop{Request: id}}
	}
	d.waiting = slices.DeleteFunc(d.waiting, func(r bbtroute.Request) bool { return r.ID == id })
	return nil
}

func (d *direct) Finished(now time.Time, id bbtgrant.RequestID, o bbtroute.Outcome) []bbtroute.Action {
	dispatched, ok := d.running[id]
	if !ok {
		return nil
	}
	d.byID[dispatched.endpoint].inFlight--
	delete(d.running, id)
	switch o.Kind {
	case bbtgrant.Refused:
	case bbtgrant.Lost:
		dispatched.losses++
		if dispatched.losses > dispatched.request.MaxRepeats {
			err := bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonEndpointLost)
			return append(d.dispatchWaiting(now), bbtroute.Refuse{Request: id, Err: err})
		}
	default:
		return d.dispatchWaiting(now)
	}
	dispatched.request.Exclude = append(slices.Clone(dispatched.request.Exclude), dispatched.endpoint)
	// Submit takes the number of losses from this entry if it dispatches the request
	// immediately. A request that has to wait starts again with no losses.
	d.running[id] = dispatched
	out := d.Submit(now, dispatched.request)
	if d.running[id].endpoint == dispatched.endpoint {
		delete(d.running, id)
	}
	return out
}

func (d *direct) UpdateLoad(_ time.Time, r bbtgrant.LoadReport) []bbtroute.Action {
	if e := d.byID[r.Endpoint]; e != nil {
		e.lastReport, e.sinceReport = r, 0
	}
	return nil
}

func (d *direct) Granted(time.Time, bbtfleet.HostID, bbtgrant.Permit) []bbtroute.Action { return nil }
func (d *direct) WasShed(time.Time, bbtfleet.HostID, bbtgrant.Shed) []bbtroute.Action   { return nil }
func (d *direct) FirstToken(time.Time, bbtgrant.RequestID) []bbtroute.Action            { return nil }
func (d *direct) HostLost(time.Time, bbtfleet.HostID) []bbtroute.Action                 { return nil }
func (d *direct) Tick(time.Time) []bbtroute.Action                                      { return nil }
func (d *direct) Next() time.Time                                                       { return time.Time{} }
