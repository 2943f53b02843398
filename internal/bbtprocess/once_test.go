package bbtprocess_test

import (
	"context"
	"net/http"
	"syscall"
	"testing"

	"bluebelltray/core/bbtverdict"
	"bluebelltray/internal/bbtprocess"
	"bluebelltray/io/bbtcaller"
)

// invoice returns a call that must not be executed more than once.
func invoice(body string) bbtcaller.Call {
	return bbtcaller.Call{
		Method: http.MethodPost, Path: "/services/billing/invoice", ContentType: "text/plain",
		Body: []byte(body), Attempt: 1,
	}
}

// withTicket returns the call with a ticket requested through the host at addr. That
// host issues it, or the key's home if the call has an idempotency key. The issuing
// host becomes the ticket's executor, the only host that may dispatch the call.
func withTicket(ctx context.Context, t *testing.T, addr string, call bbtcaller.Call) bbtcaller.Call {
	t.Helper()
	_, err := send(ctx, addr, call)
	e := bbtverdict.FromError(err, "")
	if got, want := e.Reason(), bbtverdict.ReasonTicketRequired; got != want {
		t.Fatalf("got reason %q (%v), want %q", got, err, want)
	}
	if got, want := e.Verdict(), bbtverdict.NotRun; got != want {
		t.Errorf("got verdict %v, want %v", got, want)
	}
	call.Ticket = e.Ticket()
	return call
}

// runCount returns how often the plain service executed a request body.
func runCount(t *testing.T, f *bbtprocess.Fleet, body string) int {
	t.Helper()
	var all map[string]int
	must(t, bbtprocess.Get(f.Process("service-0").Addr(), "/control/runs", &all))
	return all[body]
}

func TestResendsThroughAllHostsRunOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t)
	call := withTicket(ctx, t, f.CallerAddr("host-0"), invoice("bill 1"))
	for n := range hostCount {
		got, err := send(ctx, f.CallerAddr(hostID(n)), call)
		if err != nil {
			t.Fatalf("host %d: %v", n, err)
		}
		if want := "done: bill 1"; got != want {
			t.Errorf("host %d: got %q, want %q", n, got, want)
		}
		call.Attempt = 2
	}
	if got, want := runCount(t, f, "bill 1"), 1; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

func TestResendAfterExecutorIsKilledDoesNotRunAgain(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t)
	call := withTicket(ctx, t, f.CallerAddr("host-0"), invoice("bill 2"))
	if _, err := send(ctx, f.CallerAddr("host-0"), call); err != nil {
		t.Fatal(err)
	}
	f.Process("host-0").Kill()
	call.Attempt = 2
	_, err := send(ctx, f.CallerAddr("host-1"), call)
	if got, want := bbtverdict.Of(err), bbtverdict.MayHaveRun; got != want {
		t.Errorf("got verdict %v (%v), want %v", got, err, want)
	}
	must(t, f.StartHost("host-0"))
	must(t, bbtprocess.Await(ctx, "the host serves again", func() bool { return serves(f, 0) }))
	_, err = send(ctx, f.CallerAddr("host-0"), call)
	if got, want := bbtverdict.Of(err), bbtverdict.MayHaveRun; got != want {
		t.Errorf("after the restart: got verdict %v (%v), want %v", got, err, want)
	}
	if got, want := runCount(t, f, "bill 2"), 1; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

func TestFrozenExecutorRunsCallAtMostOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t)
	call := withTicket(ctx, t, f.CallerAddr("host-0"), invoice("bill 3"))
	must(t, f.Process("host-0").Freeze(ctx))
	_, err := send(ctx, f.CallerAddr("host-1"), call)
	if got, want := bbtverdict.Of(err), bbtverdict.MayHaveRun; got != want {
		t.Errorf("while frozen: got verdict %v (%v), want %v", got, err, want)
	}
	must(t, f.Process("host-0").Signal(syscall.SIGCONT))
	must(t, bbtprocess.Await(ctx, "the host serves again", func() bool { return serves(f, 0) }))
	call.Attempt = 2
	for n := range hostCount {
		_, _ = send(ctx, f.CallerAddr(hostID(n)), call) // only the number of executions is checked
	}
	if got, most := runCount(t, f, "bill 3"), 1; got > most {
		t.Errorf("got %d runs, want at most %d", got, most)
	}
}

func TestResendsByKeyRunOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t)
	call := invoice("bill 4")
	call.Key = "order-4"
	must(t, bbtprocess.Await(ctx, "the key's home issues tickets", func() bool {
		_, err := send(ctx, f.CallerAddr("host-0"), call)
		return bbtverdict.FromError(err, "").Reason() == bbtverdict.ReasonTicketRequired
	}))
	call = withTicket(ctx, t, f.CallerAddr("host-0"), call)
	if _, err := send(ctx, f.CallerAddr("host-1"), call); err != nil {
		t.Fatal(err)
	}
	call.Ticket, call.Attempt = "", 2
	for n := range hostCount {
		got, err := send(ctx, f.CallerAddr(hostID(n)), call)
		if want := "done: bill 4"; err == nil && got != want {
			t.Errorf("host %d: got %q, want %q", n, got, want)
		}
		if err != nil && bbtverdict.Of(err) == bbtverdict.NotRun {
			t.Errorf("host %d: got %v, want a verdict other than not-run", n, err)
		}
	}
	if got, want := runCount(t, f, "bill 4"), 1; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}
