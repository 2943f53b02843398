package bbtschedule

import (
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// accountLoad sends an account's requests as fast as its limit allows and
// records their times.
type accountLoad struct {
	used []time.Time
	cost float64
}

// send sends requests during a period.
func (l *accountLoad) send(s *Scheduler, from, to time.Duration) {
	id := 0
	for t := from; t < to; t += 5 * time.Millisecond {
		now := start.Add(t)
		id++
		r := Registration{ID: RequestID(id), Service: "plain", Account: "salons", Cost: l.cost,
			RemainingTime: time.Second, RemainingObjective: time.Second, EffectiveObjective: time.Second}
		for got := range permits(s.Register(now, "host", r)) {
			l.used = append(l.used, now)
			s.Done(now, "host", Done{ID: got, Outcome: Finished})
		}
	}
}

// maxUsage returns the largest usage in any window of length RateWindow.
func (l *accountLoad) maxUsage() float64 {
	best := 0
	for i, at := range l.used {
		n := 0
		for _, other := range l.used[i:] {
			if other.Sub(at) <= bounds().RateWindow {
				n++
			}
		}
		best = max(best, n)
	}
	return float64(best) * l.cost
}

// newPlainScheduler returns a scheduler with one plain endpoint.
func newPlainScheduler(opts ...Option) *Scheduler {
	s := New(bounds(), opts...)
	s.SetCatalog(start, bbtcatalog.NewIndex(testConfig(4)), listed("plain", 1, 100))
	return s
}

// limitOf returns the limit of an account in the operators' window, without and
// with their tolerance.
func limitOf(a bbtcatalog.Account) (limit, tolerated float64) {
	b := bounds()
	limit = a.Rate*b.RateWindow.Seconds() + a.Burst
	return limit, limit*(1+b.RateOver) + b.RateSlack
}

func TestAccountCanUseItsWholeLimit(t *testing.T) {
	l := accountLoad{cost: 50}
	l.send(newPlainScheduler(), 0, 20*time.Second)
	limit, tolerated := limitOf(testConfig(1).Accounts[0])
	if got := l.maxUsage(); got < limit || got > tolerated {
		t.Errorf("got %v in a window, want %v to %v", got, limit, tolerated)
	}
}

// Guards against an account that exceeds its limit when all hosts are killed
// repeatedly, so that the next owner does not know the earlier usage.
func TestLimitHoldsOverRestartsOfAllHosts(t *testing.T) {
	_, tolerated := limitOf(testConfig(1).Accounts[0])
	for _, every := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second} {
		l := accountLoad{cost: 50}
		l.send(newPlainScheduler(), 0, every)
		for from := every; from < 16*time.Second; from += every {
			l.send(newPlainScheduler(WithPriorUsage(start.Add(from))), from, from+every)
		}
		if got := l.maxUsage(); got > tolerated {
			t.Errorf("killed every %v: got %v in a window, want at most %v", every, got, tolerated)
		}
	}
}

// Guards against an account that exceeds its limit when the owner changes
// repeatedly and hosts report the earlier usage to each new owner.
func TestLimitHoldsAcrossOwnerChanges(t *testing.T) {
	l := accountLoad{cost: 50}
	l.send(newPlainScheduler(), 0, time.Second)
	for from := time.Second; from < 16*time.Second; from += time.Second {
		now := start.Add(from)
		m := NewMeter(bounds().RateWindow)
		for _, at := range l.used {
			m.Add(now, now.Sub(at), l.cost)
		}
		var used []Usage
		m.ForEachNonZero(now, func(age time.Duration, n float64) {
			used = append(used, Usage{Account: "salons", Age: age, Amount: n})
		})
		next := newPlainScheduler()
		next.TakeOver(now, "host", Takeover{AccountUsage: used})
		l.send(next, from, from+time.Second)
	}
	limit, tolerated := limitOf(testConfig(1).Accounts[0])
	if got := l.maxUsage(); got > tolerated || got < limit {
		t.Errorf("got %v in a window, want %v to %v", got, limit, tolerated)
	}
}

// Guards against a limit that is exceeded, or not reached, when the owner
// repeatedly changes to a process that has just started and has received the
// deficits from its predecessor.
func TestNewProcessContinuesFromReportedDeficits(t *testing.T) {
	l := accountLoad{cost: 50}
	s := newPlainScheduler()
	l.send(s, 0, time.Second)
	for from := time.Second; from < 24*time.Second; from += time.Second {
		now := start.Add(from)
		next := newPlainScheduler(WithPriorUsage(now))
		next.ImportDeficits(now, s.Deficits(now))
		l.send(next, from, from+time.Second)
		s = next
	}
	limit, tolerated := limitOf(testConfig(1).Accounts[0])
	if got := l.maxUsage(); got > tolerated || got < limit {
		t.Errorf("got %v in a window, want %v to %v", got, limit, tolerated)
	}
	if got, want := float64(len(l.used))*l.cost, 24*testConfig(1).Accounts[0].Rate; got < want {
		t.Errorf("got %v used in 24 s, want the rate, %v", got, want)
	}
}

// Guards against an owner that does not pass on the deficits of accounts that
// it has not served itself.
func TestOwnerForwardsImportedDeficits(t *testing.T) {
	s := newPlainScheduler()
	now := start.Add(time.Second)
	s.ImportDeficits(now, []Deficit{{Account: "salons", Units: 40}})
	if got := s.Deficits(now); len(got) != 1 || got[0].Units != 40 {
		t.Errorf("got %v, want the imported deficit of 40", got)
	}
}

// Guards against refusing large requests more often than small ones, or the
// reverse, when an account is at its limit.
func TestLargeRequestsAreAdmittedAsOftenAsSmallOnes(t *testing.T) {
	s := newPlainScheduler()
	sent, admitted := [2]float64{}, [2]float64{}
	for i := range 4000 {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		kind := i % 2
		r := Registration{ID: RequestID(i), Service: "plain", Account: "salons", Cost: [...]float64{10, 400}[kind],
			RemainingTime: time.Second, RemainingObjective: time.Second, EffectiveObjective: time.Second}
		sent[kind]++
		for id := range permits(s.Register(now, "host", r)) {
			admitted[kind]++
			s.Done(now, "host", Done{ID: id, Outcome: Finished})
		}
	}
	small, large := admitted[0]/sent[0], admitted[1]/sent[1]
	if large < small/2 || small > 0.5 {
		t.Errorf("got %.3f of the small and %.3f of the large requests admitted, want about as many", small, large)
	}
}

func TestRejectedRequestIsRefunded(t *testing.T) {
	s := newPlainScheduler()
	a := s.index.Account("salons")
	before := s.remaining(start, a, s.allowanceFor(a))
	r := Registration{ID: 1, Service: "plain", Account: "salons", Cost: 500, RemainingTime: time.Second, RemainingObjective: time.Second, EffectiveObjective: time.Second}
	if got := permits(s.Register(start, "host", r)); len(got) != 1 {
		t.Fatalf("got %d permits, want 1", len(got))
	}
	s.Done(start, "host", Done{ID: 1, Outcome: Rejected})
	if got := s.remaining(start, a, s.allowanceFor(a)); got != before {
		t.Errorf("got %v left, want %v", got, before)
	}
}

// Guards against requests that use nothing of their account's limit, since their first
// endpoint rejected them and another one ran them.
func TestRequestThatRunsAfterARejectionIsCharged(t *testing.T) {
	s := newPlainScheduler()
	r := Registration{ID: 1, Service: "plain", Account: "salons", Cost: 500, RemainingTime: time.Second, RemainingObjective: time.Second, EffectiveObjective: time.Second}
	s.Register(start, "host", r)
	s.Done(start, "host", Done{ID: 1, Outcome: Rejected})
	now := start.Add(2 * rejectionPause)
	r.Attempt, r.Retry, r.Uncharged = 1, true, true
	if got := permits(s.Register(now, "host", r)); len(got) != 1 {
		t.Fatalf("got %d permits, want 1", len(got))
	}
	s.Done(now, "host", Done{ID: 1, Attempt: 1, Outcome: Finished})
	if got := s.meter("salons").Sum(now); got != r.Cost {
		t.Errorf("got %v used, want %v", got, r.Cost)
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	s := newPlainScheduler()
	b := bounds()
	for i := range 100 {
		r := Registration{ID: RequestID(i), Service: "plain", RemainingTime: time.Second, RemainingObjective: time.Second, EffectiveObjective: time.Second}
		s.Register(start, "host", r)
		s.Done(start, "host", Done{ID: r.ID, Outcome: Failed})
	}
	granted := 0
	for i := range 200 {
		r := Registration{ID: RequestID(1000 + i), Service: "plain", Attempt: 1, Retry: true, RemainingTime: time.Second, RemainingObjective: time.Second, EffectiveObjective: time.Second}
		granted += len(permits(s.Register(start, "host", r)))
		s.Done(start, "host", Done{ID: r.ID, Attempt: 1, Outcome: Finished})
	}
	if most := 100*b.RetryRatio + b.RetrySlack; float64(granted) > most || granted < 20 {
		t.Errorf("got %d retries, want at most %v and at least 20", granted, most)
	}
}

func TestCrashingRequestIsRefusedAfterTwoEndpoints(t *testing.T) {
	s := newEngineScheduler(1, 4)
	runs := 0
	for i := range 10 {
		now := start.Add(time.Duration(i) * 5 * time.Second)
		r := stream(i, 1)
		r.Fingerprint = 99
		for id := range permits(s.Register(now, "host", r)) {
			runs++
			s.Done(now, "host", Done{ID: id, Outcome: ConnectionLost})
		}
		l := listed("model", 1, 4)
		l[0].Endpoint.StartTimeMS = int64(i + 1) // the endpoint restarts under the same name
		s.SetCatalog(now.Add(3*time.Second), s.index, l)
	}
	if runs != crashesToQuarantine {
		t.Errorf("got %d runs, want %d", runs, crashesToQuarantine)
	}
}

func TestConnectionLossesOfOneIncarnationDoNotBanARequest(t *testing.T) {
	s := newEngineScheduler(1, 4)
	runs := 0
	for i := range 5 {
		now := start.Add(time.Duration(i) * 5 * time.Second)
		r := stream(i, 1)
		r.Fingerprint = 99
		for id := range permits(s.Register(now, "host", r)) {
			runs++
			s.Done(now, "host", Done{ID: id, Outcome: ConnectionLost})
		}
	}
	if runs != 5 {
		t.Errorf("got %d runs, want 5: the endpoint has not restarted", runs)
	}
}

// Guards against an account that gets nothing for a while after its limit was
// lowered, since what it used under the former limit counts against the new one.
func TestLoweredLimitAppliesToLaterUsage(t *testing.T) {
	cfg := testConfig(4)
	former := cfg.Accounts[0]
	s := newPlainScheduler()
	l := &accountLoad{cost: 50}
	l.send(s, 0, 20*time.Second)
	lower := testConfig(4)
	lower.Version, lower.Accounts[0].Rate, lower.Accounts[0].Burst = 2, former.Rate/3, former.Burst/3
	changedAt := 20 * time.Second
	s.SetCatalog(start.Add(changedAt), bbtcatalog.NewIndex(lower), listed("plain", 1, 100))
	l.used = nil
	l.send(s, changedAt, changedAt+30*time.Second)
	soon := 0.0
	for _, at := range l.used {
		if at.Sub(start) < changedAt+3*time.Second {
			soon += l.cost
		}
	}
	if want := 0.9 * lower.Accounts[0].Rate * 3; soon < want {
		t.Errorf("got %.0f units within 3s of the change, want %.0f", soon, want)
	}
	if _, tolerated := limitOf(lower.Accounts[0]); l.maxUsage() > tolerated {
		t.Errorf("got %.0f units in a window after the change, want at most %.0f", l.maxUsage(), tolerated)
	}
}
