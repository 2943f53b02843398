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

// sendsPerHost is how often the crashing request is sent through each host.
const sendsPerHost = 4

// poisonSender repeatedly sends the crashing request through one host.
type poisonSender struct {
	ctx  context.Context
	addr string
	errs chan error
}

// run sends the request sendsPerHost times.
func (s *poisonSender) run() {
	for range sendsPerHost {
		_, err := complete(s.ctx, s.addr, "poison")
		s.errs <- err
	}
}

// restartCount returns how often the engines have crashed and restarted.
func restartCount(t *testing.T, f *bbtprocess.Fleet) int {
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
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t)
	for _, id := range []string{"engine-0", "engine-1"} {
		must(t, bbtprocess.Put(f.Process(id).Addr(), "/control/fault", []byte(`{"poison":"poison"}`)))
	}
	errs := make(chan error, hostCount*sendsPerHost)
	var done sync.WaitGroup
	for n := range hostCount {
		s := &poisonSender{ctx: ctx, addr: f.CallerAddr(hostID(n)), errs: errs}
		done.Go(s.run)
	}
	done.Wait()
	close(errs)
	refused := 0
	for err := range errs {
		if err == nil {
			t.Error("got a response from an engine that crashes, want an error")
		}
		if bbtverdict.FromError(err, "").Reason() == bbtverdict.ReasonCrashesEndpoints {
			refused++
		}
	}
	if refused == 0 {
		t.Error("got no error with reason crashes-endpoints, want at least one")
	}
	if got, most := restartCount(t, f), 2; got > most {
		t.Errorf("got %d engine restarts, want at most %d", got, most)
	}
}
