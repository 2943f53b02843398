package bbtschedule

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
)

const (
	assumedHold = 1000 // ms that a request takes its slot
	assumedUse  = 0.6  // part of the output tokens asked for that a stream has
	stallPart   = 0.8  // of the pause that is on time, for reading prompts beside a stream
	rateWindow  = time.Second
	briefPart   = 0.3 // of the usual time in a slot, below which a request is brief
	topRank     = -1
	finishSpare = 1.1  // factor on a forecast end that has to be in the caller's time
	acrossZones = 1.15 // factor on the time of a request at an endpoint in another availability zone
)

// service is the waiting requests and the endpoints of one service.
type service struct {
	record    *bbtcatalog.Service
	endpoints []*endpoint // sorted by ID
	waiting   []*waiter   // in the order in which they go
	grants    []time.Time // of the last rateWindow
	read      estimate    // ms for a prompt token, over all endpoints
	gap       estimate    // ms between events
	answer    estimate    // ms of a plain call
	use       estimate    // part of the output tokens asked for that a stream has
	hold      estimate    // ms that a request takes its slot
	usual     float64     // share of failures of the endpoints in the middle
	usualAt   time.Time   // when that was updated last
}

// newService returns a service without endpoints.
func newService(record *bbtcatalog.Service) *service { return &service{record: record} }

// add puts an endpoint in.
func (sv *service) add(e *endpoint) {
	sv.endpoints = append(sv.endpoints, e)
	slices.SortFunc(sv.endpoints, func(a, b *endpoint) int { return cmp.Compare(a.record.ID, b.record.ID) })
}

// remove takes an endpoint out.
func (sv *service) remove(e *endpoint) {
	sv.endpoints = slices.DeleteFunc(sv.endpoints, func(o *endpoint) bool { return o == e })
}

// push puts a request into the waiting room.
func (sv *service) push(now time.Time, w *waiter) {
	if sv.record.ModelEngine && sv.brief(&w.reg) {
		w.rank = topRank
	}
	w.needs, w.takes = sv.fastest(now, &w.reg)
	i, _ := slices.BinarySearchFunc(sv.waiting, w, func(a, b *waiter) int { return cmp.Or(a.compare(b), -1) })
	sv.waiting = slices.Insert(sv.waiting, i, w)
}

// fastest returns the times until the first event of a request and until its
// end at the endpoints that are fastest when they have nothing else to read.
func (sv *service) fastest(now time.Time, r *Registration) (first, whole time.Duration) {
	leastFirst, leastWhole := math.Inf(1), math.Inf(1)
	for _, e := range sv.endpoints {
		if e.record.Draining || e.out {
			continue
		}
		f, w, _ := e.forecast(now, r)
		backlog := e.backlog(now)
		leastFirst, leastWhole = min(leastFirst, f-backlog), min(leastWhole, w-backlog)
	}
	if math.IsInf(leastFirst, 1) {
		return 0, 0
	}
	return millis(leastFirst), millis(leastWhole)
}

// millis returns a duration of milliseconds.
func millis(ms float64) time.Duration { return time.Duration(max(ms, 0) * float64(time.Millisecond)) }

// drop takes a request out of the waiting room.
func (sv *service) drop(w *waiter) {
	w.done = true
	sv.waiting = slices.DeleteFunc(sv.waiting, func(o *waiter) bool { return o == w })
}

// find returns the waiter of a key, nil if there is none.
func (sv *service) find(k key) *waiter {
	for _, w := range sv.waiting {
		if w.key == k {
			return w
		}
	}
	return nil
}

// of returns the waiters of a host.
func (sv *service) of(host bbtfleet.HostID) []*waiter {
	var out []*waiter
	for _, w := range sv.waiting {
		if w.key.host == host {
			out = append(out, w)
		}
	}
	return out
}

// granted counts a permit.
func (sv *service) granted(now time.Time) {
	sv.grants = append(sv.grants, now)
	sv.trim(now)
}

// trim forgets permits of before the rate window.
func (sv *service) trim(now time.Time) {
	i := sort.Search(len(sv.grants), func(i int) bool { return now.Sub(sv.grants[i]) < rateWindow })
	sv.grants = sv.grants[i:]
}

// perSecond returns how many permits the service gives in a second at present,
// or could give if that is more.
func (sv *service) perSecond(now time.Time) float64 {
	sv.trim(now)
	slots := 0
	for _, e := range sv.endpoints {
		if e.open(now) {
			slots += e.slots(1)
		}
	}
	could := float64(slots) * 1000 / sv.hold.or(assumedHold)
	return max(1, could, float64(len(sv.grants))/rateWindow.Seconds())
}

// events returns how many events a request's answer is likely to have.
func (sv *service) events(r *Registration) float64 {
	tokens := float64(r.MaxOutputTokens) * sv.use.or(assumedUse)
	if r.ExpectedOutputTokens > 0 {
		tokens = float64(min(r.ExpectedOutputTokens, max(r.MaxOutputTokens, 1)))
	}
	return max(1, tokens/float64(max(1, sv.record.TokensPerEvent)))
}

// brief reports whether a request holds its slot for a small part of the time
// that requests usually do.
func (sv *service) brief(r *Registration) bool {
	return sv.events(r)*sv.gap.or(assumedGap) < briefPart*sv.hold.or(assumedHold)
}

// withRoom returns the endpoints that can take a request now.
func (sv *service) withRoom(now time.Time, slots, share float64) []*endpoint {
	var out []*endpoint
	for _, e := range sv.endpoints {
		if len(e.running) < e.slots(slots) && e.open(now) && e.bears(now, share) {
			out = append(out, e)
		}
	}
	return out
}

// choose returns the endpoint among those with room on which the request is
// done first while keeping its objective. If it cannot keep that, late says
// whether it is to be sent all the same. It returns nil if the request has to
// wait.
func (w *waiter) choose(now time.Time, room []*endpoint, late bool) *endpoint {
	var best *endpoint
	var bestWhole float64
	left := float64(w.due.Sub(now)) / float64(time.Millisecond)
	ends := float64(w.mustEnd(now)) / float64(time.Millisecond)
	patient := now.Sub(w.arrived) < w.reg.LatencyObjective/stallWaits
	for _, e := range room {
		if slices.Contains(w.reg.Exclude, e.record.ID) {
			continue
		}
		first, whole, stall := e.forecast(now, &w.reg)
		if whole > ends || !late && (first > left || patient && e.stalls(&w.reg, stall)) {
			continue
		}
		if w.reg.Zone != e.record.Zone {
			whole *= acrossZones
		}
		if best == nil || whole < bestWhole {
			best, bestWhole = e, whole
		}
	}
	return best
}

// mustEnd returns the time in which an endpoint has to finish the request. One
// that no endpoint finishes in the caller's time is sent to any.
func (w *waiter) mustEnd(now time.Time) time.Duration {
	left := time.Duration(float64(w.expires.Sub(now)) / finishSpare)
	if w.takes > left {
		return math.MaxInt64
	}
	return left
}

// stallWaits is the part of its objective that a request waits at most, as a
// divisor, for an endpoint whose other streams it does not stall.
const stallWaits = 4

// stalls reports whether reading the request's prompt would keep the other
// streams of the endpoint waiting for longer than their pause.
func (e *endpoint) stalls(r *Registration, stall float64) bool {
	if !e.service.record.ModelEngine || r.MaxEventGap <= 0 || len(e.running) == 0 {
		return false
	}
	_, gap := e.pace()
	return stall+gap > stallPart*float64(r.MaxEventGap)/float64(time.Millisecond)
}

// turn returns how many waiting requests go before one, and how long it is
// likely to wait for them.
func (sv *service) turn(now time.Time, w *waiter) (int, time.Duration) {
	ahead, late := 0, w.late(now)
	for _, o := range sv.waiting {
		if o != w && (o.late(now) == late && o.compare(w) < 0 || late && !o.late(now)) {
			ahead++
		}
	}
	return ahead, time.Duration(float64(ahead+1) / sv.perSecond(now) * float64(time.Second))
}

// admits reports whether a request that found no room may wait so long: it must
// be likely to get its turn while it keeps its objective, or before it is given
// up if it came back as told.
func (sv *service) admits(now time.Time, w *waiter, wait time.Duration) bool {
	switch {
	case len(sv.endpoints) == 0:
		return false
	case w.again:
		return wait <= w.patience()
	default:
		return !now.Add(wait + w.needs).After(w.due)
	}
}

// overdue returns the requests that have waited too long.
func (sv *service) overdue(now time.Time) []*waiter {
	var out []*waiter
	for _, w := range sv.waiting {
		if now.Sub(w.arrived) >= w.patience() {
			out = append(out, w)
		}
	}
	return out
}
