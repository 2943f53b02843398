package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtpromise"
)

// returns reports whether the caller of a request was refused before and returns as
// told, and whether room is booked for it. The scheduler forgets the refusal.
func (s *Scheduler) returns(now time.Time, sv *service, fp uint64) (returning, promised bool) {
	if sv.tiers == nil {
		return s.backoff.wasRefused(now, fp), false
	}
	switch sv.tiers.book.Returned(now, fp) {
	case bbtpromise.Kept:
		return true, true
	case bbtpromise.Waited:
		return true, false
	default:
		return s.backoff.wasRefused(now, fp), false // refused for its account's limit
	}
}

// promise chooses when the caller of a refused request should return, and books room
// for it if there is any.
func (t *tiers) promise(now time.Time, sv *service, w *waiter) bbtpromise.Promise {
	r := w.withRemainingTime(now)
	latest := r.RemainingTime / retryAfterDivisor
	t.room.SetSlots(sv.capacity(now))
	spare := t.room.Spare(now, w.rank)
	queued := sv.queue.workUpTo(w.rank)
	earliest := minRetryAfter
	if spare > 0 {
		earliest = max(earliest, time.Duration(float64(t.room.Actual(queued))/spare))
	}
	return t.book.Give(now, bbtpromise.Request{
		Fingerprint: r.Fingerprint, Rank: w.rank, Work: t.room.Actual(w.work),
		Earliest: earliest, Latest: latest, Fallback: spreadDelay(latest, r.Fingerprint), Spare: spare,
	})
}

// restorePromises adds the promises of a former owner.
func (s *Scheduler) restorePromises(now time.Time, list []ServicePromise) {
	for _, p := range list {
		if sv := s.services[p.Service]; sv != nil && sv.tiers != nil {
			sv.tiers.book.Add(now, p.Promise)
		}
	}
}
