package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtcatalog"
)

// tolerancePart is the part of the operators' tolerance of an account's limit
// that is used, so that nothing below the limit is refused for want of exact
// counts; the rest is for hosts that cannot be reached.
const tolerancePart = 0.5

// allowance is what an account may use: a rate with a burst.
type allowance struct {
	rate  float64 // units per second
	burst float64 // units
}

// allowed returns what an account may use under this owner's share, such that
// its use within the operators' window keeps their limit.
func (s *Scheduler) allowed(a *bbtcatalog.Account) allowance {
	b := s.bounds
	window := b.RateWindow.Seconds()
	slack := b.RateSlack
	if !a.InTokens && a.Plain > 0 {
		slack /= a.Plain
	}
	most := (a.Rate*window+a.Burst)*(1+tolerancePart*b.RateOver) + tolerancePart*slack
	rate := a.Rate * (1 + tolerancePart*b.RateOver/2)
	return allowance{rate: s.share * rate, burst: s.share * (most - rate*window)}
}

// left returns what an account may use now, from its use in the window. What
// was used before this process began is unknown, so nothing is taken to be left
// from then if others may have been serving.
func (s *Scheduler) left(now time.Time, m *Meter, al allowance) float64 {
	level := al.burst
	step := m.length().Seconds()
	m.Walk(now, func(ago time.Duration, n float64) {
		level = min(al.burst, level+al.rate*step)
		if s.assumeUsed && ago > now.Sub(s.born) {
			level = 0
		}
		level -= n
	})
	return level
}

// charge counts a request's cost against its account. It returns how long to
// wait if the limit does not allow it.
func (s *Scheduler) charge(now time.Time, r *Registration) (time.Duration, bool) {
	a := s.index.Account(r.Account)
	if a == nil || a.Rate <= 0 {
		return 0, true
	}
	m, al := s.meter(a), s.allowed(a)
	if lacks := r.Cost - s.left(now, m, al); lacks > 0 {
		return time.Duration(lacks / al.rate * float64(time.Second)), false
	}
	m.Add(now, 0, r.Cost)
	return 0, true
}

// refund takes the cost of a request back that has not run.
func (s *Scheduler) refund(now time.Time, r *Registration, ago time.Duration) {
	if a := s.index.Account(r.Account); a != nil && a.Rate > 0 && r.Attempt == 0 {
		s.meter(a).Add(now, ago, -r.Cost)
	}
}

// meter returns an account's meter.
func (s *Scheduler) meter(a *bbtcatalog.Account) *Meter {
	m := s.meters[a.Name]
	if m == nil {
		m = NewMeter(s.bounds.RateWindow)
		s.meters[a.Name] = m
	}
	return m
}

// TakeUse counts what a host's requests used under a former owner.
func (s *Scheduler) TakeUse(now time.Time, used []Use) {
	for _, u := range used {
		if a := s.index.Account(u.Account); a != nil && a.Rate > 0 {
			s.meter(a).Add(now, u.Ago, u.Amount)
		}
	}
}
