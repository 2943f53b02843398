package bbtdaemon

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtverdict"
	"bluebelltray/io/bbthttp"
)

// startDaemon returns a serving daemon without peers that owns two engines of
// one slot each.
func startDaemon(t *testing.T, b *fakeBackend) *Daemon {
	t.Helper()
	manifest, parts := bbtconfig.Format(1, bbtfleet.NewConfiguration(bbtfleet.Version{},
		bbtfleet.WithZones(bbtfleet.NewZone("z", "r", false)),
		bbtfleet.WithEndpoints(newEngine("e0", "127.0.0.1:1"), newEngine("e1", "127.0.0.1:2")),
		bbtfleet.WithContracts(
			bbtfleet.NewContract("kitchen", 1, bbtfleet.WithDeadline(time.Minute), bbtfleet.WithMaxRetries("m", 2)),
			bbtfleet.NewContract("guest", 2, bbtfleet.WithDeadline(time.Minute)))))
	p := staticPlatform{values: map[string][]byte{bbtconfig.ManifestKey: manifest}}
	for _, part := range parts {
		p.values[part.Key()] = part.Data()
	}
	p.hosts = bbtfleet.NewHostList(1, []bbtfleet.Host{bbtfleet.NewHost("h", "z",
		bbtfleet.WithPeerAddr("127.0.0.1:9"), bbtfleet.WithCallerAddr("127.0.0.1:8"))})
	d := New("h", "z", p, noPeers{}, WithBackend(b), WithAddressLifetime(2*time.Second))
	t.Cleanup(d.Close)
	<-time.After(20 * time.Second)
	if s := d.Status(); !s.Serving || len(s.OwnedEndpoints) != 2 {
		t.Fatalf("got status %+v, want a serving host that owns both engines", s)
	}
	for _, id := range []bbtfleet.EndpointID{"e0", "e1"} {
		d.post(loadReported{bbtgrant.LoadReport{Endpoint: id, Incarnation: 1, Served: 1000, MeasuredAt: time.Now()}})
	}
	synctest.Wait()
	return d
}

// newEngine returns a model engine at an address without a listener, so that
// all its load reports come from the test.
func newEngine(id bbtfleet.EndpointID, addr string) bbtfleet.Endpoint {
	return bbtfleet.NewEndpoint(id, "z", bbtfleet.ModelEngine, "m", bbtfleet.WithAddr(addr), bbtfleet.WithSlots(1))
}

// submit submits a request and returns its complete response body.
func submit(ctx context.Context, d *Daemon, prompt string) (string, error) {
	resp, err := d.Submit(ctx, bbthttp.NewRequest("kitchen", "m", http.MethodPost, "/v1/completions", bbthttp.WithTokens(1, 4),
		bbthttp.WithContent("application/json", []byte(prompt))))
	if err != nil {
		return "", err
	}
	defer resp.Close()
	data, err := io.ReadAll(resp)
	return string(data), err
}

// submitAsync submits a request in the background.
func submitAsync(ctx context.Context, d *Daemon, prompt string) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := submit(ctx, d, prompt)
		result <- err
	}()
	synctest.Wait()
	return result
}

// checkVerdict checks the verdict and the reason of err.
func checkVerdict(t *testing.T, err error, v bbtverdict.Verdict, r bbtverdict.Reason) {
	t.Helper()
	if got, want := bbtverdict.Of(err), v; got != want {
		t.Errorf("got verdict %v (%v), want %v", got, err, want)
	}
	if got, want := bbtverdict.FromError(err, "").Reason(), r; got != want {
		t.Errorf("got reason %v, want %v", got, want)
	}
}

// checkIdle checks that the daemon holds no claim or permit for the request
// "c", whose caller has disconnected: "c" and another request can fill both
// engines.
func checkIdle(t *testing.T, d *Daemon, b *fakeBackend) {
	t.Helper()
	synctest.Wait()
	if got, want := d.Status().Requests, 0; got != want {
		t.Errorf("got %d requests held, want %d", got, want)
	}
	before := len(b.endpoints())
	ctx, cancel := context.WithCancel(t.Context())
	b.do = func(ctx context.Context, _ int) (bluebelltray.Response, error) { return &fakeStream{ctx: ctx}, nil }
	first, second := submitAsync(ctx, d, "c"), submitAsync(ctx, d, "y")
	<-time.After(time.Second)
	if got, want := len(b.endpoints())-before, 2; got != want {
		t.Errorf("got %d slots in use, want %d", got, want)
	}
	cancel()
	<-first
	<-second
	if got, want := d.Counters().Get("crashes-suspected"), int64(0); got != want {
		t.Errorf("got %d crashes suspected, want %d", got, want)
	}
}

func TestCallerDisconnectsWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{do: func(ctx context.Context, _ int) (bluebelltray.Response, error) { return &fakeStream{ctx: ctx}, nil }}
		d := startDaemon(t, b)
		running, end := context.WithCancel(t.Context())
		first, second := submitAsync(running, d, "a"), submitAsync(running, d, "b")
		ctx, disconnect := context.WithCancel(t.Context())
		third := submitAsync(ctx, d, "c")
		disconnect()
		checkVerdict(t, <-third, bbtverdict.NotRun, bbtverdict.ReasonCancelled)
		end()
		<-first
		<-second
		<-time.After(time.Second)
		if got, want := len(b.endpoints()), 2; got != want {
			t.Errorf("got %d dispatches, want %d: none for the disconnected caller", got, want)
		}
		if got, want := d.Counters().Get("grants"), int64(2); got != want {
			t.Errorf("got %d permits, want %d: none for a withdrawn registration", got, want)
		}
		checkIdle(t, d, b)
	})
}

func TestCallerDisconnectsWhileStreaming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var streams []*fakeStream
		b := &fakeBackend{do: func(ctx context.Context, _ int) (bluebelltray.Response, error) {
			s := &fakeStream{ctx: ctx, chunks: []string{"data: x\n\n"}}
			streams = append(streams, s)
			return s, nil
		}}
		d := startDaemon(t, b)
		ctx, disconnect := context.WithCancel(t.Context())
		result := submitAsync(ctx, d, "c")
		disconnect()
		if got, want := bbtverdict.Of(<-result), bbtverdict.MayHaveRun; got != want {
			t.Errorf("got verdict %v, want %v", got, want)
		}
		synctest.Wait()
		if len(streams) != 1 || !streams[0].closed {
			t.Errorf("got %d streams, want exactly one closed stream", len(streams))
		}
		checkIdle(t, d, b)
	})
}

func TestCallerDisconnectsBeforeResponseHeaders(t *testing.T) {
	for _, want := range []bbtverdict.Verdict{bbtverdict.NotRun, bbtverdict.MayHaveRun} {
		synctest.Test(t, func(t *testing.T) {
			b := &fakeBackend{do: func(ctx context.Context, _ int) (bluebelltray.Response, error) {
				<-ctx.Done()
				return nil, bbtverdict.New(want, bbtverdict.ReasonEndpointLost, bbtverdict.WithCause(ctx.Err()))
			}}
			d := startDaemon(t, b)
			ctx, disconnect := context.WithCancel(t.Context())
			result := submitAsync(ctx, d, "c")
			disconnect()
			synctest.Wait()
			select {
			case err := <-result:
				checkVerdict(t, err, want, bbtverdict.ReasonEndpointLost)
			default:
				t.Error("got no verdict, want one immediately")
			}
			<-time.After(2 * time.Second)
			if got, want := len(b.endpoints()), 1; got != want {
				t.Errorf("got %d dispatches, want %d", got, want)
			}
			checkIdle(t, d, b)
		})
	}
}

func TestCallerDisconnectsAfterLostDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{do: func(ctx context.Context, n int) (bluebelltray.Response, error) {
			if n == 2 {
				return nil, bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonEndpointTimeout)
			}
			return &fakeStream{ctx: ctx}, nil
		}}
		d := startDaemon(t, b)
		running, end := context.WithCancel(t.Context())
		first := submitAsync(running, d, "a")
		ctx, disconnect := context.WithCancel(t.Context())
		lost := submitAsync(ctx, d, "b")
		disconnect()
		checkVerdict(t, <-lost, bbtverdict.MayHaveRun, bbtverdict.ReasonCancelled)
		end()
		<-first
	})
}

func TestRefusedDispatchIsRetriedOnAnotherEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{do: func(ctx context.Context, n int) (bluebelltray.Response, error) {
			if n == 1 {
				return nil, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonEndpointRefused)
			}
			return &fakeStream{ctx: ctx, chunks: []string{"data: [DONE]\n\n"}, err: io.EOF}, nil
		}}
		d := startDaemon(t, b)
		got, err := submit(t.Context(), d, "a")
		if err != nil || !strings.Contains(got, "[DONE]") {
			t.Fatalf("got %q (%v), want the complete response", got, err)
		}
		if used := b.endpoints(); len(used) != 2 || used[0] == used[1] {
			t.Errorf("got dispatches to %v, want one to each engine", used)
		}
		if got, want := d.Counters().Retries(bbtverdict.ReasonEndpointRefused), int64(1); got != want {
			t.Errorf("got %d retries counted, want %d", got, want)
		}
	})
}

func TestTruncatedResponseIsNotRetried(t *testing.T) {
	for reason, crashes := range map[bbtverdict.Reason]int64{
		bbtverdict.ReasonResponseIncomplete: 1,
		bbtverdict.ReasonEndpointTimeout:    0,
	} {
		synctest.Test(t, func(t *testing.T) {
			b := &fakeBackend{do: func(ctx context.Context, _ int) (bluebelltray.Response, error) {
				lost := bbtverdict.New(bbtverdict.MayHaveRun, reason)
				return &fakeStream{ctx: ctx, chunks: []string{"data: x\n\n"}, err: lost}, nil
			}}
			d := startDaemon(t, b)
			got, err := submit(t.Context(), d, "a")
			checkVerdict(t, err, bbtverdict.MayHaveRun, reason)
			if want := "data: x\n\n"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			<-time.After(10 * time.Second)
			if got, want := len(b.endpoints()), 1; got != want {
				t.Errorf("got %d dispatches, want %d", got, want)
			}
			if got, want := d.Counters().Get("crashes-suspected"), crashes; got != want {
				t.Errorf("got %d crashes suspected, want %d", got, want)
			}
		})
	}
}

func TestDrainWaitsForAddressLifetimeAndRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{do: func(ctx context.Context, _ int) (bluebelltray.Response, error) { return &fakeStream{ctx: ctx}, nil }}
		d := startDaemon(t, b)
		ctx, end := context.WithCancel(t.Context())
		running := submitAsync(ctx, d, "c")
		start := time.Now()
		drained := make(chan bool, 1)
		go func() { drained <- d.Drain(t.Context()) }()
		<-time.After(d.lifetime + leavePropagation + 5*time.Second)
		select {
		case <-drained:
			t.Error("Drain returned with a request running, want it to wait")
		default:
		}
		end()
		<-running
		if got, want := <-drained, true; got != want {
			t.Errorf("got drained %v, want %v", got, want)
		}
		if got, minimum := time.Since(start), d.lifetime+leavePropagation; got < minimum {
			t.Errorf("got drained after %v, want at least %v", got, minimum)
		}
	})
}

func TestIdleDrainWaitsForAddressLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDaemon(t, &fakeBackend{})
		start := time.Now()
		if got, want := d.Drain(t.Context()), true; got != want {
			t.Errorf("got drained %v, want %v", got, want)
		}
		if got, minimum := time.Since(start), d.lifetime+leavePropagation; got < minimum {
			t.Errorf("got drained after %v, want at least %v", got, minimum)
		}
	})
}

func TestDrainEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{do: func(ctx context.Context, _ int) (bluebelltray.Response, error) { return &fakeStream{ctx: ctx}, nil }}
		d := startDaemon(t, b)
		running, end := context.WithCancel(t.Context())
		result := submitAsync(running, d, "a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		if got, want := d.Drain(ctx), false; got != want {
			t.Errorf("got drained %v, want %v", got, want)
		}
		if got, want := time.Since(start), time.Second; got != want {
			t.Errorf("Drain returned after %v, want %v", got, want)
		}
		end()
		<-result
	})
}
