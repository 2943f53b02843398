package bbtsuspect_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtsuspect"
)

// The durations of the simulated fleet.
const (
	maxDelay     = 3 * time.Second // longest time for a notice or a release to arrive
	settlingTime = bbtsuspect.SettlingTime
	maxRunTime   = bbtsuspect.ClaimTTL - time.Second // longest time from a dispatch to the crash
)

// host is one host with its coordinator.
type host struct {
	suspects    bbtsuspect.Suspects
	tracker     *bbtsuspect.Tracker
	coordinator *bbtsuspect.Coordinator
	side        int
	settledAt   time.Time // when its coordinator settles
}

// scheduled is a function to be called at a given time.
type scheduled struct {
	at time.Time
	do func()
}

// fleet simulates a caller that keeps sending one request, which crashes every
// endpoint, through all hosts.
type fleet struct {
	rng          *rand.Rand
	now          time.Time
	hosts        []*host
	coordinators [2]int // the coordinator that each side's hosts ask
	scheduled    []scheduled
	attempts     uint64
	crashes      int
}

var testRequest = bbtsuspect.NewFingerprint("kitchen", "/summary", []byte("crashes each endpoint"))

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0)}
	for range 4 {
		h := &host{}
		h.tracker = bbtsuspect.NewTracker(&h.suspects)
		h.coordinator = bbtsuspect.NewCoordinator(&h.suspects)
		f.hosts = append(f.hosts, h)
	}
	return f
}

// after schedules a function at a random time within d.
func (f *fleet) after(d time.Duration, do func()) {
	f.scheduled = append(f.scheduled, scheduled{f.now.Add(time.Duration(f.rng.Int64N(int64(d)))), do})
}

// run advances time while the caller sends through a random host.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		due := f.scheduled
		f.scheduled = nil
		for _, s := range due {
			if s.at.After(f.now) {
				f.scheduled = append(f.scheduled, s)
			} else {
				s.do()
			}
		}
		f.send(f.rng.IntN(len(f.hosts)))
	}
}

// send dispatches an attempt through host i if the coordinator of its side
// admits it.
func (f *fleet) send(i int) {
	h := f.hosts[i]
	coordinator := f.hosts[f.coordinators[h.side]]
	f.attempts++
	attempt := bbtsuspect.Attempt{Host: bbtfleet.HostID(fmt.Sprint(i)), ID: f.attempts}
	mode := coordinator.coordinator.Decide(f.now, bbtsuspect.Claim{Fingerprint: testRequest, Attempt: attempt}, !f.now.Before(coordinator.settledAt)).DispatchMode
	if mode == bbtsuspect.Hold || mode == bbtsuspect.Banned {
		return
	}
	crash := bbtsuspect.Crash{Endpoint: bbtfleet.EndpointID(fmt.Sprint("llm-", attempt.ID)), Incarnation: 1}
	h.tracker.Begin(crash.Endpoint, testRequest)
	f.after(maxRunTime, func() {
		f.crashes++
		f.after(maxDelay, func() {
			coordinator.coordinator.Release(f.now, bbtsuspect.Release{Fingerprint: testRequest, Attempt: attempt, Crash: &crash})
		})
		for _, n := range h.tracker.Crashed(f.now, crash) {
			f.notify(h, n)
		}
	})
}

// notify passes a notice to all hosts of the side.
func (f *fleet) notify(from *host, n bbtsuspect.Notice) {
	for _, to := range f.hosts {
		if to.side == from.side {
			f.after(maxDelay, func() { to.suspects.Merge(f.now, n) })
		}
	}
}

// split partitions the fleet in two; the second side gets a new coordinator.
func (f *fleet) split() {
	f.hosts[2].side, f.hosts[3].side = 1, 1
	f.coordinators[1] = 2
	f.hosts[2].settledAt = f.now.Add(settlingTime)
}

// largestCrashCount returns the largest number of crashed endpoints in runs with
// successive seeds.
func largestCrashCount(t *testing.T, run func(f *fleet)) int {
	t.Helper()
	most := 0
	for seed := range uint64(100) {
		f := newFleet(seed)
		run(f)
		most = max(most, f.crashes)
	}
	return most
}

func TestOneRequestCrashesAtMostTwoEndpoints(t *testing.T) {
	got := largestCrashCount(t, func(f *fleet) { f.run(bbtsuspect.SuspectTTL / 2) })
	if got != bbtsuspect.MaxCrashes {
		t.Errorf("got %d endpoints crashed, want %d", got, bbtsuspect.MaxCrashes)
	}
}

func TestCrashLimitHoldsWhenTheCoordinatorChanges(t *testing.T) {
	got := largestCrashCount(t, func(f *fleet) {
		f.run(time.Duration(f.rng.Int64N(int64(maxRunTime))))
		f.coordinators[0] = 1
		f.hosts[1].settledAt = f.now.Add(settlingTime)
		f.run(bbtsuspect.SuspectTTL / 2)
	})
	if got > bbtsuspect.MaxCrashes {
		t.Errorf("got %d endpoints crashed, want at most %d", got, bbtsuspect.MaxCrashes)
	}
}

func TestCrashLimitInAPartition(t *testing.T) {
	detected := largestCrashCount(t, func(f *fleet) {
		f.split()
		f.hosts[0].settledAt = f.now.Add(time.Hour)
		f.hosts[2].settledAt = f.now.Add(time.Hour)
		f.run(bbtsuspect.SuspectTTL / 2)
	})
	if detected > bbtsuspect.MaxCrashes {
		t.Errorf("got %d endpoints crashed, want at most %d", detected, bbtsuspect.MaxCrashes)
	}
	undetected := largestCrashCount(t, func(f *fleet) {
		f.run(time.Duration(f.rng.Int64N(int64(maxRunTime))))
		f.split()
		f.run(settlingTime - maxDelay)
	})
	if want := bbtsuspect.MaxCrashes + 1; undetected > want {
		t.Errorf("got %d endpoints crashed while one coordinator has not detected the partition, want at most %d", undetected, want)
	}
}

func TestBystanderIsClearedByACompleteAnswer(t *testing.T) {
	f := newFleet(1)
	h := f.hosts[0]
	bystander := bbtsuspect.NewFingerprint("kitchen", "/label", nil)
	crash := bbtsuspect.Crash{Endpoint: "llm-1", Incarnation: 1}
	attempt := bbtsuspect.Attempt{Host: "0", ID: 1}
	claim := bbtsuspect.Claim{Fingerprint: bystander, Attempt: attempt}
	h.coordinator.Claim(f.now, claim)
	h.tracker.Begin("llm-1", bystander)
	h.tracker.Crashed(f.now, crash)
	h.tracker.Crashed(f.now, crash) // a repeated report has no effect
	h.coordinator.Release(f.now, bbtsuspect.Release{Fingerprint: bystander, Attempt: attempt, Crash: &crash})
	if got := h.coordinator.Claim(f.now, claim).DispatchMode; got != bbtsuspect.Isolated {
		t.Errorf("after a crash: got %v, want alone", got)
	}
	h.coordinator.Release(f.now, bbtsuspect.Release{Fingerprint: bystander, Attempt: attempt, Complete: true})
	for id := range uint64(3) {
		claim.Attempt.ID = id + 2
		if got := h.coordinator.Claim(f.now, claim).DispatchMode; got != bbtsuspect.Free {
			t.Errorf("after an answer: got %v for attempt %d, want free", got, id)
		}
	}
}

func TestSuspectsAreBoundedAndExpire(t *testing.T) {
	var s bbtsuspect.Suspects
	now := time.Unix(0, 0)
	endless := bbtsuspect.Notice{Fingerprint: 1, RemainingMS: 1 << 40}
	for i := range 5000 {
		endless.Fingerprint = bbtsuspect.Fingerprint(i)
		s.Merge(now, endless)
	}
	if got := s.Len(); got != 1024 {
		t.Errorf("got %d suspects, want 1024", got)
	}
	if got := len(s.Notices(now)); got != 64 {
		t.Errorf("got %d notices, want 64", got)
	}
	now = now.Add(bbtsuspect.SuspectTTL)
	if got := len(s.Notices(now)); got != 0 || s.Len() != 0 {
		t.Errorf("got %d notices and %d suspects after SuspectTTL, want none", got, s.Len())
	}
}
