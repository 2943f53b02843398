package bbtschedule

import (
	"cmp"
	"slices"
	"time"
)

const (
	// exactEndpoints is the number of endpoints of a service up to which each
	// decision considers all of them.
	exactEndpoints = 32
	// orderInterval is the time after which the order of a larger service's
	// endpoints is brought up to date as a whole. Events of an endpoint move it at
	// once.
	orderInterval     = 20 * time.Millisecond
	ownZoneCandidates = 12 // endpoints considered in the caller's availability zone
	zoneCandidates    = 4  // endpoints considered in each other zone
	fastestCandidates = 8  // endpoints considered for the shortest possible times
)

// order holds the endpoints of a service that can take a request, such that the
// best ones for a request are found without considering all of them.
type order struct {
	zones       []*zoneOrder
	open        int         // endpoints in zones
	slots       int         // of all available endpoints without a stated limit, used or not
	limited     []*endpoint // available endpoints with one
	fastest     []*endpoint // endpoints in service with the shortest times when idle
	meanPrompt  float64     // tokens of the request that the endpoints are ordered for
	meanEvents  float64     // events of its answer
	refreshedAt time.Time   // zero if the order has to be brought up to date
}

// zoneOrder holds the endpoints of an availability zone that can take a request,
// those that are predicted to complete it first at the front.
type zoneOrder struct {
	zone      string
	endpoints []*endpoint
}

// compareOrder orders endpoints by their predicted completions, then by ID.
func compareOrder(a, b *endpoint) int {
	return cmp.Or(cmp.Compare(a.orderKey, b.orderKey), cmp.Compare(a.record.ID, b.record.ID))
}

// zoneOf returns the order of a zone. It adds one if there is none.
func (o *order) zoneOf(zone string) *zoneOrder {
	for _, z := range o.zones {
		if z.zone == zone {
			return z
		}
	}
	z := &zoneOrder{zone: zone}
	o.zones = append(o.zones, z)
	return z
}

// insert adds an endpoint whose orderKey is set.
func (o *order) insert(e *endpoint) {
	z := o.zoneOf(e.record.Zone)
	i, _ := slices.BinarySearchFunc(z.endpoints, e, compareOrder)
	z.endpoints = slices.Insert(z.endpoints, i, e)
	e.ordered = z
	o.open++
}

// remove removes an endpoint. It does nothing if the order does not contain it.
func (o *order) remove(e *endpoint) {
	if e.ordered == nil {
		return
	}
	i, _ := slices.BinarySearchFunc(e.ordered.endpoints, e, compareOrder)
	e.ordered.endpoints = slices.Delete(e.ordered.endpoints, i, i+1)
	e.ordered = nil
	o.open--
}

// orderKeyOf returns the time, in ms since a fixed one, at which an endpoint is
// predicted to complete a mean request that is sent now.
func (sv *service) orderKeyOf(now time.Time, e *endpoint) float64 {
	at := float64(now.Sub(sv.orderEpoch)) / float64(time.Millisecond)
	if !sv.record.ModelEngine {
		response := e.response.orDefault(sv.response.orDefault(defaultResponseMs))
		return response * (1 + float64(len(e.running))/float64(e.slots(1)))
	}
	prefill, gap := e.timings()
	return at + e.backlog(now) + prefill*(sv.order.meanPrompt+overheadTokens) + gap*sv.order.meanEvents
}

// reorder updates the position of an endpoint whose state has changed.
func (sv *service) reorder(now time.Time, e *endpoint) {
	if e.removed || sv.order.refreshedAt.IsZero() {
		return
	}
	sv.order.remove(e)
	if e.hasRoom(now) {
		e.orderKey = sv.orderKeyOf(now, e)
		sv.order.insert(e)
	}
}

// refresh brings the order up to date if it is older than orderInterval or, in a
// small service, at all.
func (sv *service) refresh(now time.Time) {
	o := &sv.order
	if !o.refreshedAt.IsZero() && now.Sub(o.refreshedAt) < orderInterval && len(sv.endpoints) > exactEndpoints {
		return
	}
	if sv.orderEpoch.IsZero() {
		sv.orderEpoch = now
	}
	o.refreshedAt = now
	o.open, o.slots, o.fastest, o.limited = 0, 0, o.fastest[:0], o.limited[:0]
	o.meanPrompt, o.meanEvents = sv.promptTokens.orDefault(overheadTokens), sv.answerEvents.orDefault(1)
	for _, z := range o.zones {
		z.endpoints = z.endpoints[:0]
	}
	for _, e := range sv.endpoints {
		e.ordered = nil
		e.updatePace(now)
		o.addFastest(e)
		if !e.available(now) {
			continue
		}
		if e.stated.limit.Limited {
			o.limited = append(o.limited, e)
		} else {
			o.slots += e.slots(1)
		}
		if !e.hasRoom(now) {
			continue
		}
		e.orderKey = sv.orderKeyOf(now, e)
		e.ordered = o.zoneOf(e.record.Zone)
		e.ordered.endpoints = append(e.ordered.endpoints, e)
		o.open++
	}
	for _, z := range o.zones {
		slices.SortFunc(z.endpoints, compareOrder)
	}
}

// addFastest adds an endpoint to the fastest ones if it is among them, or if the
// service is small.
func (o *order) addFastest(e *endpoint) {
	if e.draining() || e.zoneOut {
		return
	}
	prefill, gap := e.timings()
	e.idleMs = prefill*(o.meanPrompt+overheadTokens) + gap*o.meanEvents
	if len(e.service.endpoints) <= exactEndpoints {
		o.fastest = append(o.fastest, e)
		return
	}
	if len(o.fastest) == fastestCandidates {
		if o.fastest[fastestCandidates-1].idleMs <= e.idleMs {
			return
		}
		o.fastest = o.fastest[:fastestCandidates-1]
	}
	i := len(o.fastest)
	for i > 0 && o.fastest[i-1].idleMs > e.idleMs {
		i--
	}
	o.fastest = slices.Insert(o.fastest, i, e)
}

// forEachCandidate calls f for the endpoints that are considered for a request:
// the best ones of each zone, and those that hold its prompt. In a small service
// these are all endpoints that can take a request. An endpoint may come twice. Those
// that want no requests from its host are left out.
func (sv *service) forEachCandidate(now time.Time, w *waiter, f func(*endpoint)) {
	r := &w.reg
	exact := len(sv.endpoints) <= exactEndpoints
	for _, z := range sv.order.zones {
		n := zoneCandidates
		if z.zone == r.Zone {
			n = ownZoneCandidates
		}
		if exact {
			n = len(z.endpoints)
		}
		for _, e := range z.endpoints {
			if n == 0 {
				break
			}
			if !e.pausesHost(now, w.key.host) {
				f(e)
				n--
			}
		}
	}
	if exact {
		return
	}
	for _, e := range sv.holders.of(r.PromptBlocks) {
		if e.ordered != nil && !e.pausesHost(now, w.key.host) {
			f(e)
		}
	}
}
