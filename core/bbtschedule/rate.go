package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtcatalog"
)

// tolerancePart is the part of the operators' tolerance of an account's limit
// that is used, so that nothing below the limit is refused for want of exact
// counts; the rest is for hosts that cannot be reached.
const tolerancePart = 0.5

// limit returns what an account may use within the operators' window.
func (s *Scheduler) limit(a *bbtcatalog.Account) float64 {
	b := s.bounds
	base := a.Rate*b.RateWindow.Seconds() + a.Burst
	slack := b.RateSlack
	if !a.InTokens && a.Plain > 0 {
		slack /= a.Plain
	}
	return s.share * (base*(1+tolerancePart*b.RateOver) + tolerancePart*slack)
}

// charge counts a request's cost against its account. It returns how long to
// wait if the limit does not allow it.
func (s *Scheduler) charge(now time.Time, r *Registration) (time.Duration, bool) {
	a := s.index.Account(r.Account)
	if a == nil || a.Rate <= 0 {
		return 0, true
	}
	m, limit := s.meter(now, a), s.limit(a)
	if m.Sum(now)+r.Cost > limit {
		return m.Until(now, limit-r.Cost), false
	}
	m.Add(now, 0, r.Cost)
	return 0, true
}

// refund takes the cost of a request back that has not run.
func (s *Scheduler) refund(now time.Time, r *Registration, ago time.Duration) {
	if a := s.index.Account(r.Account); a != nil && a.Rate > 0 && r.Attempt == 0 {
		s.meter(now, a).Add(now, ago, -r.Cost)
	}
}

// meter returns an account's meter. What was used before this process began is
// taken to be the limit, if others may have been serving then.
func (s *Scheduler) meter(now time.Time, a *bbtcatalog.Account) *Meter {
	m := s.meters[a.Name]
	if m != nil {
		return m
	}
	m = NewMeter(s.bounds.RateWindow)
	s.meters[a.Name] = m
	unknown := s.bounds.RateWindow - now.Sub(s.born)
	if !s.assumeUsed || unknown <= 0 {
		return m
	}
	part := s.limit(a) / meterSteps
	for ago := now.Sub(s.born); ago < s.bounds.RateWindow; ago += m.length() {
		m.Add(now, ago, part)
	}
	return m
}

// TakeUse counts what a host's requests used under a former owner.
func (s *Scheduler) TakeUse(now time.Time, used []Use) {
	for _, u := range used {
		if a := s.index.Account(u.Account); a != nil && a.Rate > 0 {
			s.meter(now, a).Add(now, u.Ago, u.Amount)
		}
	}
}
