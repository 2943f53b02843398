// Package bbtpromise keeps the times at which refused callers were asked to return,
// and the room that is booked for them.
package bbtpromise

import (
	"time"
)

const (
	bucketLength = 100 * time.Millisecond
	buckets      = 128 // the longest time to a promise is buckets x bucketLength
	// maxPromises bounds the promises that are remembered; the oldest go first.
	maxPromises = 8192
	// lifetime is how long a promise is remembered after it was given.
	lifetime = 10 * time.Second
	// earlyTolerance is how much before its time a caller may return.
	earlyTolerance = 50 * time.Millisecond
)

// Promise is the time at which a refused caller was asked to return. Its fields are
// exported for the codec.
type Promise struct {
	Fingerprint uint64        `cbor:"1,keyasint"`
	Rank        int           `cbor:"2,keyasint,omitempty"`
	Work        time.Duration `cbor:"3,keyasint,omitempty"`
	After       time.Duration `cbor:"4,keyasint"`           // from now; negative once the time has passed
	Booked      bool          `cbor:"5,keyasint,omitempty"` // room was found for it
}

// Request is a refused request whose caller may return.
type Request struct {
	Fingerprint uint64 // 0 for a caller that cannot be recognized
	Rank        int
	Work        time.Duration // in a slot
	Earliest    time.Duration // before which there is no room
	Latest      time.Duration // until which the caller waits if told so
	Fallback    time.Duration // told if no room is found
	Spare       float64       // slots that are expected to be left for callers who return
}

// Return is how a request relates to the promises.
type Return uint8

// Kinds of returns.
const (
	New    Return = iota // no promise is known
	Early                // before the promised time
	Waited               // at the time that the caller was told, without booked room
	Kept                 // at the time for which room is booked
)

// entry is a promise in the book.
type entry struct {
	promise Promise // After is not used
	at      time.Time
	givenAt time.Time
}

// Book holds promises. It is not safe for concurrent use. The zero value is empty.
type Book struct {
	epoch   time.Time        // origin of the buckets' indexes; independent of the time of day
	entries map[uint64]entry // by fingerprint
	order   []entry          // by givenAt; some are outdated
	ring    [buckets]bucket
}

// bucket is the booked work of an interval.
type bucket struct {
	index int64 // of the interval, which tells it from earlier ones at this place
	work  map[int]time.Duration
}

// Len returns the number of promises.
func (b *Book) Len() int { return len(b.entries) }

// index returns the number of the interval that a time lies in.
func (b *Book) index(t time.Time) int64 {
	if b.epoch.IsZero() {
		b.epoch = t.Add(-lifetime)
	}
	return max(0, int64(t.Sub(b.epoch)/bucketLength))
}

// at returns the bucket of a time.
func (b *Book) at(t time.Time) *bucket {
	index := b.index(t)
	k := &b.ring[index%buckets]
	if k.index != index {
		*k = bucket{index: index}
	}
	return k
}

// booked returns the work of at most a rank.
func (k *bucket) booked(rank int) time.Duration {
	var sum time.Duration
	for r, work := range k.work {
		if r <= rank {
			sum += work
		}
	}
	return sum
}

// Give chooses when the caller of a refused request should return: at the first time
// for which there is room beside what is booked for requests that are as urgent. If
// there is none, the caller is told the fallback, and no room is booked.
func (b *Book) Give(now time.Time, r Request) Promise {
	p := Promise{Fingerprint: r.Fingerprint, Rank: r.Rank, Work: r.Work, After: r.Fallback}
	capacity := time.Duration(r.Spare * float64(bucketLength))
	latest := min(r.Latest, (buckets-1)*bucketLength)
	if r.Fingerprint != 0 && capacity > 0 {
		for after := max(r.Earliest, bucketLength); after <= latest; after += bucketLength {
			if b.at(now.Add(after)).booked(r.Rank)+r.Work <= capacity {
				p.After, p.Booked = after, true
				break
			}
		}
	}
	b.Add(now, p)
	return p
}

// Add adds a promise that was given before, by this book or by that of another owner.
func (b *Book) Add(now time.Time, p Promise) {
	if p.Fingerprint == 0 || p.After > (buckets-1)*bucketLength || p.After < -lifetime {
		return
	}
	if b.entries == nil {
		b.entries = make(map[uint64]entry)
	}
	b.trim(now)
	b.forget(p.Fingerprint)
	e := entry{promise: p, at: now.Add(p.After), givenAt: now}
	b.entries[p.Fingerprint] = e
	b.order = append(b.order, e)
	if p.Booked && p.After > 0 {
		b.at(e.at).add(p.Rank, p.Work)
	}
}

// add adds booked work, or removes it if it is negative.
func (k *bucket) add(rank int, work time.Duration) {
	if k.work == nil {
		k.work = make(map[int]time.Duration)
	}
	k.work[rank] = max(0, k.work[rank]+work)
}

// trim forgets the promises whose time is over, and the oldest if there are too many.
func (b *Book) trim(now time.Time) {
	for len(b.order) > 0 {
		e := b.order[0]
		if len(b.entries) < maxPromises && now.Sub(e.givenAt) <= lifetime {
			return
		}
		if known, ok := b.entries[e.promise.Fingerprint]; ok && known.givenAt.Equal(e.givenAt) {
			b.forget(e.promise.Fingerprint)
		}
		b.order = b.order[1:]
	}
}

// forget removes a promise and what is booked for it.
func (b *Book) forget(fp uint64) {
	e, ok := b.entries[fp]
	if !ok {
		return
	}
	delete(b.entries, fp)
	index := b.index(e.at)
	if k := &b.ring[index%buckets]; e.promise.Booked && k.index == index {
		k.add(e.promise.Rank, -e.promise.Work)
	}
}

// Returned forgets the promise to a caller and reports whether it returns as told.
func (b *Book) Returned(now time.Time, fp uint64) Return {
	e, ok := b.entries[fp]
	if !ok || fp == 0 {
		return New
	}
	b.forget(fp)
	switch {
	case now.Sub(e.givenAt) > lifetime:
		return New
	case now.Before(e.at.Add(-earlyTolerance)):
		return Early
	case e.promise.Booked:
		return Kept
	default:
		return Waited
	}
}

// Due returns the work that is booked within a time from now for requests of at most
// a rank.
func (b *Book) Due(now time.Time, rank int, within time.Duration) time.Duration {
	var sum time.Duration
	first, last := b.index(now), b.index(now.Add(min(within, (buckets-1)*bucketLength)))
	for index := first; index <= last; index++ {
		if k := &b.ring[index%buckets]; k.index == index {
			sum += k.booked(rank)
		}
	}
	return sum
}
