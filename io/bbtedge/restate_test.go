package bbtedge

import (
	"testing"
	"testing/synctest"
	"time"

	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtschedule"
)

// Guards against requests that wait until their deadlines since their owner was
// replaced by a new process at the same address, which does not know them.
func TestRequestsSurviveARestartOfTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s, owner, host := newPair(t)
		var running []*Request
		now := time.Now()
		for range 16 { // all slots
			r := host.Submit(submission(now))
			if _, err := r.Next(t.Context()); err != nil {
				t.Fatal(err)
			}
			running = append(running, r)
		}
		waiting := host.Submit(submission(now))
		time.Sleep(10 * time.Millisecond)
		owner.Close()
		owner = w.rejoin("a", s, "b")
		defer closeAll(host, owner)
		restartedAt := time.Now()
		running[0].DispatchEnded(bbtschedule.Done{Outcome: bbtschedule.Finished}, false)
		if _, err := waiting.Next(t.Context()); err != nil {
			t.Fatalf("got %v, want a permit", err)
		}
		if got := time.Since(restartedAt); got > time.Second {
			t.Errorf("got a permit %v after the restart, want one within 1s", got)
		}
		time.Sleep(2 * time.Second)
		checkRunning(t, owner, len(running))
	})
}

// checkRunning checks how many requests an owner counts at the endpoints.
func checkRunning(t *testing.T, e *Edge, want int) {
	t.Helper()
	got := make(chan int)
	e.post(inspection(func() {
		n := 0
		for _, st := range e.scheduler.Status(time.Now()) {
			n += st.Running()
		}
		got <- n
	}))
	if n := <-got; n != want {
		t.Errorf("%s: got %d requests at the endpoints, want %d", e.settings.Host, n, want)
	}
}

// Guards against requests that wait until their deadlines, and against endpoints that
// get more than their slots, since the owner took their host for dead for a moment.
func TestRequestsSurviveAFalseReportOfTheirHostsDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, owner, host := newPair(t)
		defer closeAll(host, owner)
		var running []*Request
		now := time.Now()
		for range 16 { // all slots
			r := host.Submit(submission(now))
			if _, err := r.Next(t.Context()); err != nil {
				t.Fatal(err)
			}
			running = append(running, r)
		}
		waiting := host.Submit(submission(now))
		time.Sleep(10 * time.Millisecond)
		owner.post(inspection(func() { owner.doScheduler(owner.scheduler.RemoveHost(time.Now(), "b")) }))
		removedAt := time.Now()
		time.Sleep(repeatBound)
		checkRunning(t, owner, len(running))
		running[0].DispatchEnded(bbtschedule.Done{Outcome: bbtschedule.Finished}, false)
		if _, err := waiting.Next(t.Context()); err != nil {
			t.Fatalf("got %v, want a permit", err)
		}
		if got := time.Since(removedAt); got > repeatBound+200*time.Millisecond {
			t.Errorf("got a permit %v after the owner removed the host, want one within 200ms of a free slot", got)
		}
	})
}

// Guards against an owner that counts fewer requests at the endpoints than run there,
// since the message that told it of them was lost.
func TestLostTakeoverIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := newNetwork(t), newStore(1)
		w.cores["a"], w.cores["b"] = 4, 1
		host := w.join("b", s)
		time.Sleep(time.Second)
		r := host.Submit(submission(time.Now()))
		if _, err := r.Next(t.Context()); err != nil {
			t.Fatal(err)
		}
		w.setLoss(loseFirst[bbtschedule.Takeover](1))
		owner := w.join("a", s, "b")
		defer closeAll(host, owner)
		for host.owner() != "a" {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(bbtentry.FollowInterval + 100*time.Millisecond)
		checkRunning(t, owner, 1)
	})
}
