package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtroom"
	"bluebelltray/core/bbtverdict"
)

const (
	// timelyPart is the part of the time until a request becomes late that it may be
	// expected to wait. Engines that are slower than the fastest one, and forecasts
	// that are too hopeful, need the rest.
	timelyPart = 0.5
	// reviewTolerance is how far a forecast may exceed the one by which a request was
	// let in before the request is refused after all.
	reviewTolerance = 1.5
	// maxReviewed bounds how many requests of a line each review considers.
	maxReviewed = 16
)

// capacity returns how many requests the available endpoints of the service run at
// once. Those with a stated limit count by what it lets them run.
func (sv *service) capacity(now time.Time) float64 {
	sv.refresh(now)
	n := float64(sv.order.slots)
	held := sv.tiers.held.orDefault(defaultHoldMs) / 1000
	for _, e := range sv.order.limited {
		n += min(e.stated.rate(sv.shares.limits)*held, float64(e.slots(1)))
	}
	return n * min(1, sv.shares.slots)
}

// precedingRank returns the highest rank whose later arrivals go before a request.
func (w *waiter) precedingRank() int {
	switch {
	case w.class() <= timelyLine:
		return w.rank - 1
	case w.rank == topRank:
		return maxRank
	default:
		return w.rank
	}
}

const maxRank = 1 << 30 // above those of all tiers

// tieredWait returns how many queued requests go before w, and the expected wait of w.
func (sv *service) tieredWait(now time.Time, w *waiter) (int, time.Duration) {
	t := sv.tiers
	t.room.SetSlots(sv.capacity(now))
	ahead, work := sv.queue.ahead(w)
	part, pause := sv.openTo(now, w.key.host)
	wait := t.room.Wait(now, w.rank, w.precedingRank(), work, part)
	if due := t.book.Due(now, w.rank, min(wait, w.patience)); due > 0 && !w.promised {
		wait = t.room.Wait(now, w.rank, w.precedingRank(), work+due, part)
	}
	if wait > bbtroom.Forever-pause {
		return ahead, bbtroom.Forever
	}
	return ahead, pause + wait
}

// admitsTiered reports whether a queued request may wait: a timely one if it can
// still meet its objective, otherwise as a late one if its caller will still be there.
func (sv *service) admitsTiered(now time.Time, w *waiter, wait time.Duration) bool {
	if c := w.class(); c == timelyLine || c == tightLine {
		slack := w.due.Sub(now) - w.ttft
		if w.oversized {
			slack = w.reg.EffectiveObjective - now.Sub(w.arrivedAt)
		}
		if wait <= time.Duration(timelyPart*float64(slack)) {
			return true
		}
		w.demote()
		_, wait = sv.tieredWait(now, w)
	}
	return wait <= w.patience-now.Sub(w.arrivedAt)
}

// noteAdmitted records that a new request is given a slot or may wait.
func (sv *service) noteAdmitted(now time.Time, w *waiter) {
	if sv.tiers != nil {
		sv.tiers.room.Admitted(now, sv.tiers.rankOf(&w.reg), w.work)
	}
}

// noteWaits records the forecast for a request that may wait, in the line that it waits in.
func (sv *service) noteWaits(now time.Time, w *waiter) {
	if sv.tiers != nil {
		_, w.told = sv.tieredWait(now, w)
		w.forecast = sv.tiers.room.Uncorrected(w.rank, w.told)
	}
}

// noteRefused records that a new request is refused.
func (sv *service) noteRefused(w *waiter) {
	if sv.tiers == nil {
		return
	}
	sv.tiers.clock(w.rank).Withdrawn(w.reg.Account, w.work.Seconds(), sv.tiers.weight(w.reg.Account))
	sv.tiers.score.Refused(w.reg.RouteTier)
}

// noteBroken records that a request is refused that was let in.
func (sv *service) noteBroken(w *waiter) {
	if sv.tiers == nil {
		return
	}
	sv.tiers.clock(w.rank).Withdrawn(w.reg.Account, w.work.Seconds(), sv.tiers.weight(w.reg.Account))
	sv.tiers.score.Broken(w.reg.RouteTier)
}

// mayTakeRoom reports whether a request may have a free slot, or has to leave it to
// more urgent ones that are expected.
func (sv *service) mayTakeRoom(now time.Time, w *waiter) bool {
	t := sv.tiers
	if t == nil || w.reg.RouteTier <= 0 || w.rank == topRank {
		return true
	}
	free := float64(sv.order.slots - sv.running)
	return free > sv.kept(now, w.rank)
}

// kept returns how many free slots requests of a rank leave to more urgent ones.
func (sv *service) kept(now time.Time, rank int) float64 {
	t := sv.tiers
	t.room.SetSlots(float64(sv.order.slots))
	return t.room.Kept(now, rank, millis(t.slack.orDefault(0)), millis(t.held.orDefault(defaultHoldMs)))
}

// review refuses the waiting requests that can no longer expect to be served while
// their callers wait. The last ones of a line expect the longest wait.
func (s *Scheduler) review(now time.Time, sv *service) []Action {
	if sv.tiers == nil || sv.queue.Len() == 0 {
		return nil
	}
	sv.queue.advance(now)
	var out []Action
	for l := range sv.queue.lines() {
		for i, n := len(*l)-1, 0; i >= 0 && n < maxReviewed; i, n = i-1, n+1 {
			w := (*l)[i]
			if w.reg.Silent != 0 || w.promised {
				continue
			}
			ahead, wait := sv.tieredWait(now, w)
			if sv.admitsTiered(now, w, time.Duration(float64(wait)/reviewTolerance)) {
				break
			}
			sv.queue.remove(w)
			sv.noteBroken(w)
			out = append(out, s.refuseWaiter(now, w, Refusal{Reason: string(bbtverdict.ReasonDeadlineUnreachable), Ahead: ahead, Wait: wait}))
		}
	}
	return out
}
