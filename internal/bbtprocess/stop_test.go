package bbtprocess_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"bluebelltray/internal/bbtprocess"
	"bluebelltray/io/bbtcaller"
)

// maxStopDelay is less than the 5 s that io/bbtapp gives its servers to shut down
// after the drain.
const maxStopDelay = 4 * time.Second

// streamResult is the outcome of one caller's request.
type streamResult struct {
	body string
	err  error
}

// openStream requests a stream of n tokens through the host at addr.
func openStream(ctx context.Context, addr, prompt string, n int) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, poolModel, prompt, n)
	return bbtcaller.New("kitchen", addr).SendTo(ctx, addr, bbtcaller.Call{
		Method: http.MethodPost, Path: "/v1/completions", ContentType: "application/json", Body: []byte(body),
	})
}

// fetchStream requests a stream and sends its complete body to results.
func fetchStream(ctx context.Context, addr, prompt string, n int, results chan<- streamResult) {
	resp, err := openStream(ctx, addr, prompt, n)
	if err != nil {
		results <- streamResult{err: err}
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	results <- streamResult{string(data), err}
}

func TestStopCompletesRequestsAndSecondSignalAbortsThem(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t)
	checkComplete(ctx, t, f, 0)
	const perHost, tokens = 5, 400 // 15 requests exceed the two engines' 8 slots in total
	results := make(chan streamResult, hostCount*perHost)
	for i := range hostCount * perHost {
		go fetchStream(ctx, f.CallerAddr(hostID(i%hostCount)), fmt.Sprintf("letter %d", i), tokens, results)
	}
	must(t, bbtprocess.Await(ctx, "the host has all its requests", func() bool { return status(f, 0).Requests == perHost }))
	must(t, f.Process("host-0").Signal(syscall.SIGTERM))
	for range hostCount * perHost {
		r := <-results
		if r.err != nil || !strings.HasSuffix(strings.TrimSpace(r.body), "data: [DONE]") {
			t.Errorf("got %d bytes (%v), want a complete response", len(r.body), r.err)
		}
	}
	must(t, f.Process("host-0").Wait())
	checkSecondSignal(ctx, t, f)
}

// checkSecondSignal checks that host-1 stops immediately, aborting a running
// stream, when it receives the signal twice.
func checkSecondSignal(ctx context.Context, t *testing.T, f *bbtprocess.Fleet) {
	t.Helper()
	const tokens = 400
	for _, id := range []string{"engine-0", "engine-1"} {
		must(t, bbtprocess.Put(f.Process(id).Addr(), "/control/fault", []byte(`{"slow":50}`)))
	}
	resp, err := openStream(ctx, f.CallerAddr("host-1"), "long letter", tokens)
	must(t, err)
	defer resp.Body.Close()
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	must(t, err)
	must(t, f.Process("host-1").Signal(syscall.SIGTERM))
	must(t, bbtprocess.Await(ctx, "the host drains", func() bool { return status(f, 1).Leaving }))
	signalledAt := time.Now()
	must(t, f.Process("host-1").Signal(syscall.SIGTERM))
	must(t, f.Process("host-1").Wait())
	if got, most := time.Since(signalledAt), maxStopDelay; got > most {
		t.Errorf("host stopped %v after the second signal, want at most %v", got, most)
	}
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("got a complete response, want an aborted one")
	}
}
