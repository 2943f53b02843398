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

// direct is a policy without owners: each host picks endpoints by what it
// knows itself, from its own dispatches and stale load reports.
type direct struct {
	pick    func(d *direct, room []*known) *known
	share   int  // hosts that share each endpoint's slots; zero dispatches at once
	byTier  bool // the queue is ordered by tier, then by deadline
	rng     *rand.Rand
	turn    int
	pools   map[bbtfleet.PoolID][]*known
	byID    map[bbtfleet.EndpointID]*known
	waiting []bbtroute.Request
	running map[bbtgrant.RequestID]flight
}

// known is what a host knows of an endpoint.
type known struct {
	record bbtfleet.Endpoint
	own    int // own requests under way
	since  int // own dispatches since the last report
	report bbtgrant.LoadReport
}

type flight struct {
	request bbtroute.Request
	at      bbtfleet.EndpointID
	lost    int
}

func newDirect(rng *rand.Rand, share int, byTier bool, pick func(*direct, []*known) *known) *direct {
	return &direct{pick: pick, share: share, byTier: byTier, rng: rng, byID: make(map[bbtfleet.EndpointID]*known), running: make(map[bbtgrant.RequestID]flight)}
}

func roundRobin(d *direct, room []*known) *known {
	d.turn++
	return room[d.turn%len(room)]
}

func leastLoaded(_ *direct, room []*known) *known {
	return slices.MinFunc(room, func(a, b *known) int { return a.load() - b.load() })
}

func twoChoices(d *direct, room []*known) *known {
	a, b := room[d.rng.IntN(len(room))], room[d.rng.IntN(len(room))]
	if a.load()+a.since <= b.load()+b.since {
		return a
	}
	return b
}

func leastOwn(_ *direct, room []*known) *known {
	return slices.MinFunc(room, func(a, b *known) int { return a.own - b.own })
}

func (k *known) load() int { return k.report.Running + k.report.Queued }

func (d *direct) View(now time.Time, targets []bbtroute.Target) []bbtroute.Action {
	d.pools = make(map[bbtfleet.PoolID][]*known)
	for _, t := range targets {
		k := d.byID[t.Endpoint.ID()]
		if k == nil {
			k = &known{record: t.Endpoint}
			d.byID[t.Endpoint.ID()] = k
		}
		d.pools[t.Endpoint.Pool()] = append(d.pools[t.Endpoint.Pool()], k)
	}
	return d.drain(now)
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
	return d.drain(now)
}

// drain dispatches what has room, in order.
func (d *direct) drain(time.Time) []bbtroute.Action {
	var out []bbtroute.Action
	d.waiting = slices.DeleteFunc(d.waiting, func(r bbtroute.Request) bool {
		var room []*known
		for _, k := range d.pools[r.Pool] {
			if !slices.Contains(r.Exclude, k.record.ID()) && (d.share == 0 || k.own < max(1, k.record.Slots()/d.share)) {
				room = append(room, k)
			}
		}
		if len(room) == 0 {
			return false
		}
		k := d.pick(d, room)
		k.own++
		k.since++
		f := d.running[r.ID]
		d.running[r.ID] = flight{request: r, at: k.record.ID(), lost: f.lost}
		out = append(out, bbtroute.Dispatch{Request: r.ID, Endpoint: k.record.ID()})
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
	f, ok := d.running[id]
	if !ok {
		return nil
	}
	d.byID[f.at].own--
	delete(d.running, id)
	switch o.Kind {
	case bbtgrant.Refused:
	case bbtgrant.Lost:
		f.lost++
		if f.lost > f.request.MaxRepeats {
			err := bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonEndpointLost)
			return append(d.drain(now), bbtroute.Refuse{Request: id, Err: err})
		}
	default:
		return d.drain(now)
	}
	f.request.Exclude = append(slices.Clone(f.request.Exclude), f.at)
	d.running[id] = f
	out := d.Submit(now, f.request)
	if d.running[id].at == f.at {
		delete(d.running, id)
	}
	return out
}

// UpdateLoad records a load report.
func (d *direct) UpdateLoad(_ time.Time, r bbtgrant.LoadReport) []bbtroute.Action {
	if k := d.byID[r.Endpoint]; k != nil {
		k.report, k.since = r, 0
	}
	return nil
}

func (d *direct) Granted(time.Time, bbtfleet.HostID, bbtgrant.Permit) []bbtroute.Action { return nil }
func (d *direct) WasShed(time.Time, bbtfleet.HostID, bbtgrant.Shed) []bbtroute.Action   { return nil }
func (d *direct) FirstToken(time.Time, bbtgrant.RequestID) []bbtroute.Action            { return nil }
func (d *direct) HostLost(time.Time, bbtfleet.HostID) []bbtroute.Action                 { return nil }
func (d *direct) Tick(time.Time) []bbtroute.Action                                      { return nil }
func (d *direct) Next() time.Time                                                       { return time.Time{} }
