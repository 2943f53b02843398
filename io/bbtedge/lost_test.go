package bbtedge

import (
	"testing"
	"testing/synctest"
	"time"

	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtschedule"
)

// repeatBound is how long a lost message may delay the reply to a request: a host
// notices within these times that the owner does not know the request.
const repeatBound = bbtentry.OwnerTimeout + bbtentry.FollowInterval

// loseFirst returns a loss of the first n messages of a type.
func loseFirst[M any](n int) func(from, to bbtfleet.HostID, msg any) bool {
	return func(_, _ bbtfleet.HostID, msg any) bool {
		if _, ok := msg.(M); !ok || n == 0 {
			return false
		}
		n--
		return true
	}
}

// newPair starts an owner, a, and a host that follows it, b. The owner has more cores,
// so that it owns again after a restart.
func newPair(t *testing.T) (w *network, s *store, owner, host *Edge) {
	t.Helper()
	w, s = newNetwork(t), newStore(1)
	w.cores["a"], w.cores["b"] = 4, 1
	owner, host = w.join("a", s), w.join("b", s, "a")
	time.Sleep(3 * time.Second)
	return w, s, owner, host
}

// Guards against a request that waits until its deadline since its registration or
// its permit was lost between the hosts.
func TestLostRegistrationOrPermitIsRepeated(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(from, to bbtfleet.HostID, msg any) bool
	}{
		{"registration", loseFirst[bbtschedule.Registration](1)},
		{"permit", loseFirst[bbtschedule.Permit](1)},
	} {
		synctest.Test(t, func(t *testing.T) {
			w, _, owner, host := newPair(t)
			defer closeAll(owner, host)
			w.setLoss(c.lose)
			if got := permitDelay(t, host); got > repeatBound {
				t.Errorf("%s lost: got a permit after %v, want one within %v", c.name, got, repeatBound)
			}
			time.Sleep(100 * time.Millisecond)
			checkNothingRuns(t, owner)
		})
	}
}

// checkNothingRuns checks that no request waits or holds a slot at an owner.
func checkNothingRuns(t *testing.T, e *Edge) {
	t.Helper()
	done := make(chan struct{})
	e.post(inspection(func() {
		defer close(done)
		for _, st := range e.scheduler.Status(time.Now()) {
			if st.Waiting != 0 || st.Running() != 0 {
				t.Errorf("%s: got %d requests waiting and %d running, want none", e.settings.Host, st.Waiting, st.Running())
			}
		}
	}))
	<-done
}

// Guards against a request that waits until its deadline since its refusal was lost
// between the hosts.
func TestLostRefusalIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _, owner, host := newPair(t)
		defer closeAll(owner, host)
		w.setLoss(loseFirst[bbtschedule.Refusal](1))
		now := time.Now()
		s := submission(now)
		s.Registration.Service = "none"
		if _, err := host.Submit(s).Next(t.Context()); err == nil {
			t.Fatal("got a permit of an unknown service, want a refusal")
		}
		if got := time.Since(now); got > repeatBound {
			t.Errorf("got the refusal after %v, want it within %v", got, repeatBound)
		}
	})
}

// Guards against requests whose replies are dropped since the owner has not met their
// host yet: a host that starts learns of the owner from another one, and registers with
// it at once.
func TestHostThatTheOwnerHasNotMetGetsReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s, owner, other := newPair(t)
		defer closeAll(owner, other)
		w.setLoss(func(from, to bbtfleet.HostID, msg any) bool { // the owner hears nothing of c but its requests
			_, request := msg.(bbtschedule.Registration)
			return to == "a" && !request
		})
		c := w.join("c", s, "b")
		defer c.Close()
		for !c.Ready() || c.owner() != "a" {
			time.Sleep(time.Millisecond)
		}
		if got := permitDelay(t, c); got > 50*time.Millisecond {
			t.Errorf("got a permit after %v, want one within 50ms", got)
		}
	})
}

// owner returns the owner that an edge uses.
func (e *Edge) owner() bbtfleet.HostID {
	got := make(chan bbtfleet.HostID)
	e.post(inspection(func() { got <- e.entry.Owner() }))
	return <-got
}
