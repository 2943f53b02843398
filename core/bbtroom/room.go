// Package bbtroom forecasts for how long requests wait for the slots of a service,
// and how many free slots have to be kept for more urgent requests.
//
// A request is measured by its work, the time for which it is expected to hold a
// slot. Requests of lower ranks are more urgent and go first.
package bbtroom

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// demandWindow is the time constant of the measured demand.
	demandWindow = time.Second
	// endedWeight is the weight of a request that ends in the sums that compare actual
	// with expected work.
	endedWeight = 0.005
	// waitedWeight is the weight of a wait that ends in the correction of forecasts.
	waitedWeight = 0.02
	// maxCorrection bounds the correction of forecasts, and its reciprocal.
	maxCorrection = 10.0
	// minScale keeps the forecasts of a service whose estimates are far off apart
	// from zero.
	minScale = 0.05
	// arrivalDeviations is how many standard deviations above their mean the
	// arrivals are taken for which slots are kept.
	arrivalDeviations = 2.0
)

// Forever is the wait of a request for which no room is left.
const Forever = time.Duration(math.MaxInt64)

// Room tracks the demand for the slots of a service. It is not safe for concurrent
// use. The zero value has no slots.
type Room struct {
	slots    float64
	demands  []*demand // sorted by rank
	expected float64   // mean work of the requests that ended, in seconds; 0 without any
	actual   float64   // mean time for which they held their slots
}

// demand is what the requests of one rank need.
type demand struct {
	rank  int
	load  rate    // work, in slots
	count rate    // requests per second
	told  float64 // mean forecast of the waits that ended, in seconds; 0 without any
	had   float64 // mean of these waits
}

// SetSlots sets how many requests the service can run at once.
func (r *Room) SetSlots(n float64) { r.slots = n }

// Slots returns how many requests the service can run at once.
func (r *Room) Slots() float64 { return r.slots }

// of returns the demand of a rank. It adds one if there is none.
func (r *Room) of(rank int) *demand {
	i, ok := slices.BinarySearchFunc(r.demands, rank, func(d *demand, n int) int { return cmp.Compare(d.rank, n) })
	if !ok {
		r.demands = slices.Insert(r.demands, i, &demand{rank: rank})
	}
	return r.demands[i]
}

// Admitted records a request that is given a slot or a place in the queue.
func (r *Room) Admitted(now time.Time, rank int, work time.Duration) {
	d := r.of(rank)
	d.load.add(now, r.Actual(work).Seconds())
	d.count.add(now, 1)
}

// Ended records for how long a request held its slot.
func (r *Room) Ended(work, held time.Duration) {
	if work <= 0 {
		return
	}
	if r.expected == 0 { // the first requests to end are the short ones, so estimates are believed at first
		r.expected, r.actual = work.Seconds(), work.Seconds()
	}
	r.expected += endedWeight * (work.Seconds() - r.expected)
	r.actual += endedWeight * (held.Seconds() - r.actual)
}

// Actual returns the time for which a request with the given work will hold a slot,
// going by those that have ended.
func (r *Room) Actual(work time.Duration) time.Duration {
	if r.expected == 0 {
		return work
	}
	return time.Duration(float64(work) * max(r.actual/r.expected, minScale))
}

// Waited records how long a request waited, against the forecast without a correction.
func (r *Room) Waited(rank int, told, had time.Duration) {
	if told <= 0 || told == Forever {
		return
	}
	d := r.of(rank)
	if d.told == 0 {
		d.told, d.had = told.Seconds(), told.Seconds()
	}
	d.told += waitedWeight * (told.Seconds() - d.told)
	d.had += waitedWeight * (had.Seconds() - d.had)
}

// Uncorrected returns the forecast that a wait was corrected from.
func (r *Room) Uncorrected(rank int, wait time.Duration) time.Duration {
	if wait == Forever {
		return wait
	}
	return time.Duration(float64(wait) / r.correction(rank))
}

// correction returns the ratio of waits to their forecasts lately: above 1 if requests
// that came later went first, below 1 if many that were ahead gave up.
func (r *Room) correction(rank int) float64 {
	d := r.of(rank)
	if d.told == 0 {
		return 1
	}
	return min(max(d.had/d.told, 1/maxCorrection), maxCorrection)
}

// Load returns how many slots the requests admitted lately with at most the given
// rank keep busy.
func (r *Room) Load(now time.Time, rank int) float64 {
	load := 0.0
	for _, d := range r.demands {
		if d.rank > rank {
			break
		}
		load += d.load.at(now)
	}
	return load
}

// LoadOf returns how many slots the requests admitted lately with a rank keep busy.
func (r *Room) LoadOf(now time.Time, rank int) float64 { return r.of(rank).load.at(now) }

// Spare returns the slots that requests of at most the given rank leave.
func (r *Room) Spare(now time.Time, rank int) float64 { return max(0, r.slots-r.Load(now, rank)) }

// Wait forecasts for how long a request of a rank waits that may use a part of the
// slots. ahead is the work of the queued requests that go first; those of ranks up to
// preceding go first, too, if they arrive while it waits.
func (r *Room) Wait(now time.Time, rank, preceding int, ahead time.Duration, part float64) time.Duration {
	spare := part * r.Spare(now, preceding)
	wait := float64(r.Actual(ahead)) / spare * r.correction(rank)
	if !(wait < float64(Forever)) { // also without any spare slot
		return Forever
	}
	return time.Duration(wait)
}

// Kept returns how many free slots a request leaves to more urgent ones: as many as
// these will need within their patience, less those that become free in that time.
// hold is the mean time in a slot.
func (r *Room) Kept(now time.Time, rank int, patience, hold time.Duration) float64 {
	if hold <= 0 || patience <= 0 {
		return 0
	}
	need := 0.0
	for _, d := range r.demands {
		if d.rank >= rank {
			break
		}
		count := d.count.at(now)
		if count <= 0 {
			continue
		}
		held := min(patience.Seconds(), d.load.at(now)/count)
		need += count * held
	}
	if need == 0 {
		return 0
	}
	freed := r.slots * patience.Seconds() / hold.Seconds()
	return min(max(0, need+arrivalDeviations*math.Sqrt(need)-freed), r.slots)
}

// rate is an exponentially weighted sum per second.
type rate struct {
	sum     float64
	updated time.Time
}

// at returns the rate at a time.
func (r *rate) at(now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	age := max(0, now.Sub(r.updated))
	return r.sum * math.Exp(-float64(age)/float64(demandWindow)) / demandWindow.Seconds()
}

// add adds an amount.
func (r *rate) add(now time.Time, amount float64) {
	r.sum = r.at(now)*demandWindow.Seconds() + amount
	r.updated = now
}
