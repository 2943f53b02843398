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

// The rate of the limited account, and what its callers offer: twice as much.
const (
	limitedRate   = 15.0 // requests a second
	limitedBurst  = 15.0 // requests
	offeredPeriod = 100 * time.Millisecond
	offeredEach   = 40 // requests of each host's caller
)

// pressing is a caller that sends through one host faster than its contract
// allows.
type pressing struct {
	ctx   context.Context
	addr  string
	name  string
	mu    *sync.Mutex
	tally map[bbtverdict.Reason]int
}

// run sends all requests, each when the period is over.
func (p *pressing) run() {
	ticks := time.NewTicker(offeredPeriod)
	defer ticks.Stop()
	var sent sync.WaitGroup
	for i := range offeredEach {
		<-ticks.C
		sent.Go(func() { p.send(i) })
	}
	sent.Wait()
}

// send sends the i-th request and counts its outcome; an answer counts under no
// reason.
func (p *pressing) send(i int) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"%s %d","max_tokens":1,"stream":true}`, poolModel, p.name, i)
	resp, err := bbtcaller.New("metered", p.addr).SendTo(p.ctx, p.addr, bbtcaller.Call{
		Method: http.MethodPost, Path: "/v1/completions", ContentType: "application/json", Body: []byte(body),
	})
	var reason bbtverdict.Reason
	if err != nil {
		reason = bbtverdict.FromError(err, "").Reason()
	} else {
		_, _ = io.Copy(io.Discard, resp.Body) // the request was admitted, whatever follows
		resp.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tally[reason]++
}

func TestRateLimitHoldsAcrossHosts(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
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
	begun := time.Now()
	var done sync.WaitGroup
	for n := range hosts {
		p := &pressing{ctx: ctx, addr: f.CallerAddr(hostID(n)), name: string(hostID(n)), mu: &mu, tally: tally}
		done.Go(p.run)
	}
	done.Wait()
	elapsed := time.Since(begun).Seconds()
	admitted, refused := tally[""], tally[bbtverdict.ReasonRequestRate]
	if got, want := admitted+refused, hosts*offeredEach; got != want {
		t.Errorf("got %d answers and refusals for the rate, want all %d: %v", got, want, tally)
	}
	most := limitedBurst + limitedRate*elapsed + limitedBurst/hosts
	if got := float64(admitted); got > most {
		t.Errorf("got %v requests admitted in %.1f s, want at most %.1f", got, elapsed, most)
	}
	if got, least := admitted, int(limitedBurst); got < least {
		t.Errorf("got %d requests admitted, want at least the burst of %d", got, least)
	}
	t.Logf("admitted %d, refused %d in %.1f s, bound %.1f", admitted, refused, elapsed, most)
}
