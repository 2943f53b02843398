package bbtschedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// toleranceFraction is the fraction of the operators' tolerance that an owner
// adds to an account's limit, since counts are inexact and must not refuse usage
// below the limit. The rest covers usage by hosts that this owner cannot reach.
const toleranceFraction = 0.75

// rateToleranceFraction is the part of the tolerance that is added to the rate.
// The rest is added to the burst.
const rateToleranceFraction = 0.25

// allowance is the rate and the burst that an account may use.
type allowance struct {
	rate  float64 // units per second
	burst float64 // units
}

// allowanceFor returns what an account may use under this owner's share, such
// that its usage over the operators' window stays within their limit and
// tolerance. RateSlack is in tokens; for an account whose rate counts requests
// it is converted to requests of DefaultCost tokens each.
func (s *Scheduler) allowanceFor(a *bbtcatalog.Account) allowance {
	b := s.bounds
	window := b.RateWindow.Seconds()
	slack := b.RateSlack
	if !a.RateInTokens && a.DefaultCost > 0 {
		slack /= a.DefaultCost
	}
	windowLimit := (a.Rate*window+a.Burst)*(1+toleranceFraction*b.RateOver) + toleranceFraction*slack
	rate := a.Rate * (1 + rateToleranceFraction*b.RateOver)
	return allowance{rate: s.shares.limits * rate, burst: s.shares.limits * (windowLimit - rate*window)}
}

// baseline is an account's known usage up to a time.
type baseline struct {
	at      time.Time // zero if there is no earlier usage
	deficit float64   // below the burst at that time
}

// noteLoweredLimits records what is left to the accounts whose limits the next
// configuration lowers. Their earlier usage was within the former limits and does
// not count against the new ones.
func (s *Scheduler) noteLoweredLimits(now time.Time, next *bbtcatalog.Index) {
	if next == s.index || next.Config() == nil {
		return
	}
	for i := range next.Config().Accounts {
		a := &next.Config().Accounts[i]
		former := s.index.Account(a.Name)
		if former == nil || former.Rate <= 0 || a.Rate <= 0 || former.RateInTokens != a.RateInTokens {
			continue
		}
		if a.Rate < former.Rate || a.Burst < former.Burst {
			left := s.remaining(now, former, s.allowanceFor(former))
			burst := s.allowanceFor(a).burst
			s.lowered[a.Name] = baseline{at: now, deficit: burst - min(burst, left)}
		}
	}
	maps.DeleteFunc(s.lowered, func(_ string, b baseline) bool { return now.Sub(b.at) >= s.bounds.RateWindow })
}

// baselineFor returns an account's usage before its limit was lowered within the
// window, or before this owner started to count. If
// other owners may have served before and none has reported its usage, the
// allowance is taken to be exhausted when this process started.
func (s *Scheduler) baselineFor(now time.Time, a *bbtcatalog.Account) baseline {
	lowered, ok := s.lowered[a.Name]
	switch {
	case ok && now.Sub(lowered.at) < s.bounds.RateWindow:
		return lowered
	case s.lost.fraction >= 1, !s.lost.at.IsZero() && s.reportedAt.IsZero():
		return baseline{at: s.lost.at, deficit: s.allowanceFor(a).burst}
	case !s.reportedAt.IsZero():
		deficit, burst := s.reportedDeficits[a.Name], s.allowanceFor(a).burst
		return baseline{at: s.reportedAt, deficit: max(deficit, min(burst, deficit+s.lost.fraction*burst))}
	case s.assumeExhausted:
		return baseline{at: s.startedAt, deficit: s.allowanceFor(a).burst}
	default:
		return baseline{}
	}
}

// remaining returns how much of its allowance an account has left, after its
// usage within the window.
func (s *Scheduler) remaining(now time.Time, a *bbtcatalog.Account, allowed allowance) float64 {
	prior := s.baselineFor(now, a)
	level := allowed.burst
	m := s.meter(a.Name)
	maxAge := s.bounds.RateWindow
	if !prior.at.IsZero() {
		maxAge, level = now.Sub(prior.at), max(-allowed.burst, allowed.burst-prior.deficit)
	}
	m.ForEach(now, func(age time.Duration, n float64) {
		if age >= maxAge+m.stepLength() { // a part of the step may be younger than its age
			return
		}
		refill := allowed.rate * max(0, min(m.stepLength(), maxAge-age)).Seconds()
		level = min(allowed.burst, level+refill) - n
	})
	return level
}

// maxDeficits limits how many deficits an owner reports in a ProbeReply.
const maxDeficits = 256

// Deficits returns the accounts that have used a part of their bursts, those
// with the largest deficit first.
func (s *Scheduler) Deficits(now time.Time) []Deficit {
	var out []Deficit
	names := slices.Collect(maps.Keys(s.reportedDeficits))
	names = slices.AppendSeq(names, maps.Keys(s.meters))
	if cfg := s.index.Config(); cfg != nil && !s.lost.at.IsZero() && now.Sub(s.lost.at) < s.bounds.RateWindow {
		for i := range cfg.Accounts {
			names = append(names, cfg.Accounts[i].Name)
		}
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		a := s.index.Account(name)
		if a == nil || a.Rate <= 0 {
			continue
		}
		allowed := s.allowanceFor(a)
		if missing := allowed.burst - s.remaining(now, a, allowed); missing > 0 {
			out = append(out, Deficit{Account: name, Units: missing})
		}
	}
	slices.SortFunc(out, func(a, b Deficit) int {
		return cmp.Or(cmp.Compare(b.Units, a.Units), cmp.Compare(a.Account, b.Account))
	})
	return out[:min(len(out), maxDeficits)]
}

// ImportDeficits replaces the usage before the given time by the deficits that
// another owner reported at that time.
func (s *Scheduler) ImportDeficits(at time.Time, deficits []Deficit) {
	s.reportedAt, s.lost = at, lostUsage{}
	s.reportedDeficits = make(map[string]float64, len(deficits))
	for _, d := range deficits {
		s.reportedDeficits[d.Account] = max(0, clampUnits(d.Units))
	}
}

// lostUsage is the usage that a lost owner has not reported: what the callers of lost
// hosts used after its last report.
type lostUsage struct {
	at       time.Time // when the owner was found to be lost; zero if none was
	fraction float64   // of each account's burst
}

// OwnerLost records that the former owner is lost, and a fraction of the hosts with it.
// Nobody knows what their callers used since the last report; it is at most the burst,
// and as callers are spread over the hosts, about that fraction of it. Twice as much is
// taken to be used, and the whole burst if half of the hosts are lost.
func (s *Scheduler) OwnerLost(now time.Time, fraction float64) {
	s.lost = lostUsage{at: now, fraction: min(1, 2*fraction)}
}

// LimitsUnused reports whether this scheduler has counted no usage within the
// window, neither by charges nor by AddUsage.
func (s *Scheduler) LimitsUnused(now time.Time) bool {
	for _, m := range s.meters {
		if m.Sum(now) > 0 {
			return false
		}
	}
	return true
}

// charge counts a request's cost against its account, or returns how long to
// wait if the limit does not allow the request. A request is allowed while any
// allowance is left, so that large requests are admitted as often as small
// ones; the requests that follow wait until the overdraft is refilled.
func (s *Scheduler) charge(now time.Time, r *Registration) (time.Duration, bool) {
	a := s.index.Account(r.Account)
	if a == nil || a.Rate <= 0 {
		return 0, true
	}
	allowed := s.allowanceFor(a)
	if remaining := s.remaining(now, a, allowed); remaining <= 0 {
		return time.Duration(-remaining/allowed.rate*float64(time.Second)) + s.meter(a.Name).stepLength(), false
	}
	s.meter(a.Name).Add(now, 0, r.Cost)
	return 0, true
}

// refund reverses the charge, of the given age, of a request that no endpoint
// has run.
func (s *Scheduler) refund(now time.Time, r *Registration, age time.Duration) {
	if a := s.index.Account(r.Account); a != nil && a.Rate > 0 && r.isCharged() {
		s.meter(a.Name).Add(now, age, -r.Cost)
	}
}

// isCharged reports whether the attempt is charged to the request's account: the first
// one, and each that follows until an endpoint has run the request.
func (r *Registration) isCharged() bool { return r.Attempt == 0 || r.Uncharged }

// meter returns an account's meter. It adds one if there is none.
func (s *Scheduler) meter(account string) *Meter {
	m := s.meters[account]
	if m == nil {
		m = NewMeter(s.bounds.RateWindow)
		s.meters[account] = m
	}
	return m
}

// AddUsage adds to the accounts' usage what a host's requests used under a
// former owner.
func (s *Scheduler) AddUsage(now time.Time, used []Usage) {
	for _, usage := range used {
		if a := s.index.Account(usage.Account); a != nil && a.Rate > 0 {
			s.meter(a.Name).Add(now, usage.Age, usage.Amount)
		}
	}
}
