package bbtprocess_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
	"bluebelltray/internal/bbtprocess"
	"bluebelltray/io/bbtcaller"
	"bluebelltray/io/bbtdaemon"
)

// testTimeout limits the run time of one test.
const testTimeout = 60 * time.Second

// Size and pools of the test fleet.
const (
	hostCount                   = 3
	poolModel   bbtfleet.PoolID = "summary"
	poolService bbtfleet.PoolID = "billing"
)

// zones are the availability zones of the test fleet.
var zones = []bbtfleet.Zone{
	bbtfleet.NewZone("edin-a", "scotland", false),
	bbtfleet.NewZone("falkirk-a", "scotland", false),
}

// contracts are the client accounts' contracts in the test fleet.
var contracts = []bbtfleet.Contract{
	bbtfleet.NewContract("kitchen", 1,
		bbtfleet.WithDeadline(20*time.Second),
		bbtfleet.WithMaxRetries(poolModel, 2)),
}

// logWriter writes the processes' log output to the test's log.
type logWriter struct{ t *testing.T }

func (w logWriter) Write(p []byte) (int, error) {
	w.t.Logf("%s", strings.TrimSpace(string(p)))
	return len(p), nil
}

// hostID returns the name of the n-th host.
func hostID(n int) bbtfleet.HostID { return bbtfleet.HostID(fmt.Sprintf("host-%d", n)) }

// startFleet starts a platform, two engines, one plain service and three entry
// hosts, and waits until all hosts serve.
func startFleet(ctx context.Context, t *testing.T) *bbtprocess.Fleet {
	t.Helper()
	return startFleetOn(ctx, t, nil)
}

// startFleetOn starts the same fleet with network n between the hosts.
func startFleetOn(ctx context.Context, t *testing.T, n *bbtprocess.Network) *bbtprocess.Fleet {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	dir := t.TempDir()
	b, err := bbtprocess.Build(dir)
	must(t, err)
	f, err := bbtprocess.NewFleet(dir, b, logWriter{t})
	must(t, err)
	t.Cleanup(f.Close)
	f.SetNetwork(n)
	must(t, f.AddEndpoint("engine-0", "edin-a", bbtfleet.ModelEngine, poolModel, 4, "engine", "--slots=4"))
	must(t, f.AddEndpoint("engine-1", "falkirk-a", bbtfleet.ModelEngine, poolModel, 4, "engine", "--slots=4"))
	must(t, f.AddEndpoint("service-0", "edin-a", bbtfleet.PlainService, poolService, 4, "service"))
	must(t, f.Publish(zones, contracts))
	for n := range hostCount {
		must(t, f.AddHost(hostID(n), zones[n%len(zones)].ID()))
	}
	for n := range hostCount {
		must(t, bbtprocess.Await(ctx, "the host serves and knows all its peers", func() bool { return serves(f, n) }))
	}
	return f
}

// serves reports whether the n-th host serves and knows all its peers.
func serves(f *bbtprocess.Fleet, n int) bool {
	var s bbtdaemon.Status
	err := bbtprocess.Get(f.CallerAddr(hostID(n)), "/status", &s)
	return err == nil && s.Serving && s.Fresh && len(s.Peers) == hostCount-1
}

// must fails the test immediately if err is not nil.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// complete sends a completion request to the host at addr and returns the response body.
func complete(ctx context.Context, addr, prompt string) (string, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":8,"stream":true}`, poolModel, prompt)
	return send(ctx, addr, bbtcaller.Call{
		Method: http.MethodPost, Path: "/v1/completions", ContentType: "application/json", Body: []byte(body),
	})
}

// send sends a call to the host at addr and returns the complete response body.
func send(ctx context.Context, addr string, call bbtcaller.Call) (string, error) {
	resp, err := bbtcaller.New("kitchen", addr).SendTo(ctx, addr, call)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// checkComplete sends a completion request through the n-th host and checks that the
// response is complete.
func checkComplete(ctx context.Context, t *testing.T, f *bbtprocess.Fleet, n int) {
	t.Helper()
	got, err := complete(ctx, f.CallerAddr(hostID(n)), fmt.Sprintf("report of host %d", n))
	if err != nil {
		t.Fatalf("host %d: %v", n, err)
	}
	if want := "data: [DONE]"; !strings.HasSuffix(strings.TrimSpace(got), want) {
		t.Errorf("host %d: got %q, want it to end in %q", n, got, want)
	}
}

func TestFleetServesAfterHostIsKilled(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t)
	for n := range hostCount {
		checkComplete(ctx, t, f, n)
	}
	f.Process("host-2").Kill()
	must(t, bbtprocess.Await(ctx, "peers report host-2 as dead", func() bool {
		return seesHost2(f, 0, "dead") && seesHost2(f, 1, "dead")
	}))
	for n := range hostCount - 1 {
		checkComplete(ctx, t, f, n)
	}
}

// seesHost2 reports whether the n-th host considers host-2 to be in the given state.
func seesHost2(f *bbtprocess.Fleet, n int, state string) bool {
	var s bbtdaemon.Status
	if err := bbtprocess.Get(f.CallerAddr(hostID(n)), "/status", &s); err != nil {
		return false
	}
	for _, p := range s.Peers {
		if p.Host == "host-2" {
			return p.State == state
		}
	}
	return false
}

func TestGracefulShutdownCompletesStream(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t)
	checkComplete(ctx, t, f, 0)
	body := fmt.Sprintf(`{"model":%q,"prompt":"long letter","max_tokens":500,"stream":true}`, poolModel)
	addr := f.CallerAddr("host-0")
	resp, err := bbtcaller.New("kitchen", addr).SendTo(ctx, addr, bbtcaller.Call{
		Method: http.MethodPost, Path: "/v1/completions", ContentType: "application/json", Body: []byte(body),
	})
	must(t, err)
	defer resp.Body.Close()
	must(t, f.Process("host-0").Signal(syscall.SIGTERM))
	data, err := io.ReadAll(resp.Body)
	must(t, err)
	if want := "data: [DONE]"; !strings.HasSuffix(strings.TrimSpace(string(data)), want) {
		t.Errorf("got %d bytes without the end marker, want the complete response", len(data))
	}
	must(t, f.Process("host-0").Wait())
}

func TestCallFromUnknownAccountIsNotRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t)
	addr := f.CallerAddr("host-0")
	_, err := bbtcaller.New("stranger", addr).SendTo(ctx, addr, bbtcaller.Call{
		Method: http.MethodPost, Path: "/services/billing/invoice", ContentType: "text/plain", Body: []byte("x"),
	})
	if got, want := bbtverdict.Of(err), bbtverdict.NotRun; got != want {
		t.Errorf("got verdict %v (%v), want %v", got, err, want)
	}
}
