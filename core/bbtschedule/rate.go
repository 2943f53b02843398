package bbtschedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// toleranceFraction is the part of the operators' tolerance of an account's limit
// that is used, so that nothing below the limit is refused for want of exact
// counts; the rest is for hosts that cannot be reached.
const toleranceFraction = 0.75

// rateToleranceFraction is the part of the tolerance that goes into the rate; the rest is
// burst.
const rateToleranceFraction = 0.25

// allowance is what an account may use: a rate with a burst.
type allowance struct {
	rate  float64 // units per second
	burst float64 // units
}

// allowanceFor returns what an account may use under this owner's share, such that
// its use within the operators' window keeps their limit.
func (s *Scheduler) allowanceFor(a *bbtcatalog.Account) allowance {
	b := s.bounds
	window := b.RateWindow.Seconds()
	slack := b.RateSlack
	if !a.RateInTokens && a.DefaultCost > 0 {
		slack /= a.DefaultCost
	}
	windowLimit := (a.Rate*window+a.Burst)*(1+toleranceFraction*b.RateOver) + toleranceFraction*slack
	rate := a.Rate * (1 + rateToleranceFraction*b.RateOver)
	return allowance{rate: s.limitShare * rate, burst: s.limitShare * (windowLimit - rate*window)}
}

// baseline is what is known of an account's use up to a time.
type baseline struct {
	at      time.Time // zero if nothing was used before
	deficit float64   // of the burst, at that time
}

// baselineFor returns what is known of an account's use before this owner counted.
// If others may have been serving and none has told, nothing is taken to be
// left when this process began.
func (s *Scheduler) baselineFor(a *bbtcatalog.Account) baseline {
	switch {
	case !s.reportedAt.IsZero():
		return baseline{at: s.reportedAt, deficit: s.reportedDeficits[a.Name]}
	case s.assumeExhausted:
		return baseline{at: s.startedAt, deficit: s.allowanceFor(a).burst}
	default:
		return baseline{}
	}
}

// remaining returns what an account may use now, from its use in the window.
func (s *Scheduler) remaining(now time.Time, a *bbtcatalog.Account, al allowance) float64 {
	known := s.baselineFor(a)
	level := al.burst
	m := s.meter(a.Name)
	since := s.bounds.RateWindow
	if !known.at.IsZero() {
		since, level = now.Sub(known.at), max(-al.burst, al.burst-known.deficit)
	}
	m.ForEach(now, func(ago time.Duration, n float64) {
		if ago > since {
			return
		}
		refill := al.rate * min(m.stepLength(), since-ago).Seconds()
		level = min(al.burst, level+refill) - n
	})
	return level
}

// maxDeficits bounds how many accounts' use an owner tells its followers.
const maxDeficits = 256

// Deficits returns which accounts have used a part of their bursts, those that
// lack most first.
func (s *Scheduler) Deficits(now time.Time) []Deficit {
	var out []Deficit
	names := slices.Collect(maps.Keys(s.reportedDeficits))
	names = slices.AppendSeq(names, maps.Keys(s.meters))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		a := s.index.Account(name)
		if a == nil || a.Rate <= 0 {
			continue
		}
		al := s.allowanceFor(a)
		if lacks := al.burst - s.remaining(now, a, al); lacks > 0 {
			out = append(out, Deficit{Account: name, Units: lacks})
		}
	}
	slices.SortFunc(out, func(a, b Deficit) int {
		return cmp.Or(cmp.Compare(b.Units, a.Units), cmp.Compare(a.Account, b.Account))
	})
	return out[:min(len(out), maxDeficits)]
}

// ImportDeficits takes what a former owner told some time ago as what was used by then.
func (s *Scheduler) ImportDeficits(at time.Time, deficits []Deficit) {
	s.reportedAt = at
	s.reportedDeficits = make(map[string]float64, len(deficits))
	for _, d := range deficits {
		s.reportedDeficits[d.Account] = max(0, clampUnits(d.Units))
	}
}

// LimitsUnused reports whether nothing was used of any limit within the window.
func (s *Scheduler) LimitsUnused(now time.Time) bool {
	for _, m := range s.meters {
		if m.Sum(now) > 0 {
			return false
		}
	}
	return true
}

// charge counts a request's cost against its account. It returns how long to
// wait if the limit does not allow it. A request is allowed while anything is
// left, so that large ones have the chance of small ones; what it takes beyond
// that is paid back by those after it.
func (s *Scheduler) charge(now time.Time, r *Registration) (time.Duration, bool) {
	a := s.index.Account(r.Account)
	if a == nil || a.Rate <= 0 {
		return 0, true
	}
	al := s.allowanceFor(a)
	if remaining := s.remaining(now, a, al); remaining <= 0 {
		return time.Duration(-remaining/al.rate*float64(time.Second)) + s.meter(a.Name).stepLength(), false
	}
	s.meter(a.Name).Add(now, 0, r.Cost)
	return 0, true
}

// refund takes the cost of a request back that has not run.
func (s *Scheduler) refund(now time.Time, r *Registration, ago time.Duration) {
	if a := s.index.Account(r.Account); a != nil && a.Rate > 0 && r.Attempt == 0 {
		s.meter(a.Name).Add(now, ago, -r.Cost)
	}
}

// meter returns an account's meter.
func (s *Scheduler) meter(account string) *Meter {
	m := s.meters[account]
	if m == nil {
		m = NewMeter(s.bounds.RateWindow)
		s.meters[account] = m
	}
	return m
}

// AddUsage counts what a host's requests used under a former owner.
func (s *Scheduler) AddUsage(now time.Time, used []Usage) {
	for _, u := range used {
		if a := s.index.Account(u.Account); a != nil && a.Rate > 0 {
			s.meter(a.Name).Add(now, u.Age, u.Amount)
		}
	}
}
