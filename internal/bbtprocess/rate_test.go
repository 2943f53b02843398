package bbtprocess_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
	"bluebelltray/io/bbtcaller"
)

// The rate limit of the metered account. Its callers send at twice this rate.
const (
	limitedRate     = 15.0 // requests per second
	limitedBurst    = 15.0 // requests
	sendInterval    = 100 * time.Millisecond
	requestsPerHost = 40 // sent through each host
)

// loadSender is a caller that sends through one host. All of them together send
// faster than the contract allows.
type loadSender struct {
	ctx   context.Context
	addr  string
	name  string
	mu    *sync.Mutex
	tally map[bbtverdict.Reason]int
}

// run sends one request per interval and waits for all responses.
func (s *loadSender) run() {
	ticks := time.NewTicker(sendInterval)
	defer ticks.Stop()
	var sent sync.WaitGroup
	for i := range requestsPerHost {
		<-ticks.C
		sent.Go(func() { s.send(i) })
	}
	sent.Wait()
}

// send sends the i-th request and counts its outcome; a response counts under the
// empty reason.
func (s *loadSender) send(i int) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"%s %d","max_tokens":1,"stream":true}`, poolModel, s.name, i)
	resp, err := bbtcaller.New("metered", s.addr).SendTo(s.ctx, s.addr, bbtcaller.Call{
		Method: http.MethodPost, Path: "/v1/completions", ContentType: "application/json", Body: []byte(body),
	})
	var reason bbtverdict.Reason
	if err != nil {
		reason = bbtverdict.FromError(err, "").Reason()
	} else {
		_, _ = io.Copy(io.Discard, resp.Body) // the request was admitted, whether or not its response is complete
		resp.Body.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally[reason]++
}

func TestRateLimitHoldsAcrossHosts(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t)
	metered := bbtfleet.NewContract("metered", 1,
		bbtfleet.WithRequests(bbtfleet.NewRate(limitedRate, limitedBurst)),
		bbtfleet.WithDeadline(20*time.Second),
		bbtfleet.WithMaxRetries(poolModel, 2))
	must(t, f.Publish(zones, append([]bbtfleet.Contract{metered}, contracts...)))
	awaitRevision(ctx, t, f, "2")
	var mu sync.Mutex
	tally := make(map[bbtverdict.Reason]int)
	startedAt := time.Now()
	var done sync.WaitGroup
	for n := range hostCount {
		s := &loadSender{ctx: ctx, addr: f.CallerAddr(hostID(n)), name: string(hostID(n)), mu: &mu, tally: tally}
		done.Go(s.run)
	}
	done.Wait()
	elapsed := time.Since(startedAt).Seconds()
	admitted, refused := tally[""], tally[bbtverdict.ReasonRequestRate]
	if got, want := admitted+refused, hostCount*requestsPerHost; got != want {
		t.Errorf("got %d responses and rate limit errors, want %d: %v", got, want, tally)
	}
	most := limitedBurst + limitedRate*elapsed + limitedBurst/hostCount
	if got := float64(admitted); got > most {
		t.Errorf("got %v requests admitted in %.1f s, want at most %.1f", got, elapsed, most)
	}
	if got, least := admitted, int(limitedBurst); got < least {
		t.Errorf("got %d requests admitted, want at least the burst of %d", got, least)
	}
	t.Logf("admitted %d, refused %d in %.1f s, bound %.1f", admitted, refused, elapsed, most)
}
