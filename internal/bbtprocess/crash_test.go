package bbtprocess_test

import (
	"context"
	"sync"
	"testing"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
	"bluebelltray/internal/bbtprocess"
	"bluebelltray/internal/bbtstandin"
)

// resends is how often each host gets the crashing request.
const resends = 4

// sender sends one request through one host again and again.
type sender struct {
	ctx  context.Context
	addr string
	errs chan error
}

// run sends until the resends are used up.
func (s *sender) run() {
	for range resends {
		_, err := complete(s.ctx, s.addr, "poison")
		s.errs <- err
	}
}

// restarts returns how often the engines were taken down.
func restarts(t *testing.T, f *bbtprocess.Fleet) int {
	t.Helper()
	n := 0
	for _, id := range []bbtfleet.EndpointID{"engine-0", "engine-1"} {
		var c bbtstandin.EngineCounts
		must(t, bbtprocess.Get(f.Process(string(id)).Addr(), "/control/counts", &c))
		n += c.Restarts
	}
	return n
}

func TestCrashingRequestRestartsAtMostTwoEndpoints(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	f := startFleet(ctx, t)
	for _, id := range []string{"engine-0", "engine-1"} {
		must(t, bbtprocess.Put(f.Process(id).Addr(), "/control/fault", []byte(`{"poison":"poison"}`)))
	}
	errs := make(chan error, hosts*resends)
	var done sync.WaitGroup
	for n := range hosts {
		s := &sender{ctx: ctx, addr: f.CallerAddr(hostID(n)), errs: errs}
		done.Go(s.run)
	}
	done.Wait()
	close(errs)
	banned := 0
	for err := range errs {
		if err == nil {
			t.Error("got an answer, want none from an engine that dies")
		}
		if bbtverdict.FromError(err, "").Reason() == bbtverdict.ReasonCrashesEndpoints {
			banned++
		}
	}
	if banned == 0 {
		t.Error("got no refusal as crashing, want some")
	}
	if got, most := restarts(t, f), 2; got > most {
		t.Errorf("got %d engines taken down, want at most %d", got, most)
	}
}
