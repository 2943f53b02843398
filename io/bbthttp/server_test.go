package bbthttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
	"bluebelltray/io/bbthttp"
	"bluebelltray/io/bbtmetric"
)

// scheduler is a bluebelltray.Scheduler that calls submit and counts the calls.
type scheduler struct {
	submit    func(context.Context, bluebelltray.Request) (bluebelltray.Response, error)
	submitted atomic.Int64
}

func (s *scheduler) Addresses(bbtfleet.AccountID) ([]string, time.Duration, error) {
	return []string{"127.0.0.1:1"}, time.Second, nil
}

func (s *scheduler) Submit(ctx context.Context, r bluebelltray.Request) (bluebelltray.Response, error) {
	s.submitted.Add(1)
	return s.submit(ctx, r)
}

// eventStream is a response with an event stream as its body.
type eventStream struct{ io.Reader }

func (eventStream) Status() int                       { return http.StatusOK }
func (eventStream) ContentType() string               { return "text/event-stream" }
func (eventStream) Incarnation() bbtfleet.Incarnation { return 0 }
func (eventStream) Close() error                      { return nil }

// respondWith returns a scheduler that responds to every request with text.
func respondWith(text string) *scheduler {
	return &scheduler{submit: func(context.Context, bluebelltray.Request) (bluebelltray.Response, error) {
		return eventStream{strings.NewReader(text)}, nil
	}}
}

// serve starts a server for s and returns its address and its counters.
func serve(t *testing.T, s bluebelltray.Scheduler, opts ...bbthttp.LimitOption) (string, *bbtmetric.Counters) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counters := bbtmetric.New()
	srv := bbthttp.NewServer(s, counters, bbthttp.WithListener(l), bbthttp.WithLimits(bbthttp.NewLimits(opts...)))
	done := make(chan error, 1)
	go func() { done <- srv.Start(context.Background()) }()
	t.Cleanup(func() {
		srv.Close()
		<-done
	})
	return l.Addr().String(), counters
}

// post sends a POST request and returns the response and its body.
func post(t *testing.T, addr, path, account, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if account != "" {
		req.Header.Set(bbthttp.HeaderAccount, account)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(data)
}

// checkRefusal checks the status code, verdict and reason of a response.
func checkRefusal(t *testing.T, resp *http.Response, status int, v bbtverdict.Verdict, r bbtverdict.Reason) {
	t.Helper()
	if got, want := resp.StatusCode, status; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if got, want := resp.Header.Get(bbthttp.HeaderVerdict), v.String(); got != want {
		t.Errorf("got verdict %q, want %q", got, want)
	}
	if got, want := resp.Header.Get(bbthttp.HeaderReason), string(r); got != want {
		t.Errorf("got reason %q, want %q", got, want)
	}
}

const validBody = `{"model":"m","prompt":"p","max_tokens":3}`

func TestServerRefusesInvalidRequests(t *testing.T) {
	const path, account = "/v1/completions", "kitchen"
	long := strings.Repeat("a", 129)
	tests := []struct {
		name, path, account, body string
		status                    int
		message                   string
	}{
		{"no account", path, "", validBody, 400, "Bluebelltray-Account is missing"},
		{"long account", path, long, validBody, 400, "account exceeds 128 bytes"},
		{"no model", path, account, `{"prompt":"p"}`, 400, "field model"},
		{"no prompt", path, account, `{"model":"m"}`, 400, "field prompt"},
		{"null prompt", path, account, `{"model":"m","prompt":null}`, 400, "field prompt"},
		{"no tokens", path, account, `{"model":"m","prompt":"p","max_tokens":0}`, 400, "field max_tokens is 0"},
		{"too many tokens", path, account, `{"model":"m","prompt":"p","max_tokens":131073}`, 400, "field max_tokens is 131073"},
		{"invalid JSON", path, account, `model=m`, 400, "not a completions request"},
		{"large body", path, account, `{"model":"` + strings.Repeat("m", 256) + `"}`, 400, "body exceeds 256 bytes"},
		{"service without a name", "/services/", account, "x", 400, "/services/POOL/"},
		{"service with a long name", "/services/" + long + "/x", account, "x", 400, "/services/POOL/"},
		{"unknown path", "/v2/completions", account, validBody, 404, "/v2/completions"},
		{"services without a slash", "/services", account, validBody, 404, "/services"},
	}
	s := respondWith("data: [DONE]\n\n")
	addr, counters := serve(t, s, bbthttp.WithMaxBodyBytes(256))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := counters.Refusals(bbtverdict.ReasonBadRequest)
			resp, body := post(t, addr, tt.path, tt.account, tt.body)
			checkRefusal(t, resp, tt.status, bbtverdict.NotRun, bbtverdict.ReasonBadRequest)
			if !strings.Contains(body, tt.message) {
				t.Errorf("got body %q, want it to contain %q", body, tt.message)
			}
			if got, want := counters.Refusals(bbtverdict.ReasonBadRequest), before+1; got != want {
				t.Errorf("got %d refusals counted, want %d", got, want)
			}
		})
	}
	if got, want := s.submitted.Load(), int64(0); got != want {
		t.Errorf("got %d requests submitted, want %d", got, want)
	}
}

func TestServerRefusesOversizedHeader(t *testing.T) {
	s := respondWith("data: [DONE]\n\n")
	addr, _ := serve(t, s, bbthttp.WithMaxHeaderBytes(1024))
	resp, _ := post(t, addr, "/v1/completions", strings.Repeat("a", 8<<10), validBody)
	if got, want := resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if got, want := s.submitted.Load(), int64(0); got != want {
		t.Errorf("got %d requests submitted, want %d", got, want)
	}
}

func TestServerRefusesSlowBody(t *testing.T) {
	s := respondWith("data: [DONE]\n\n")
	addr, _ := serve(t, s, bbthttp.WithBodyTimeout(20*time.Millisecond))
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nBluebelltray-Account: a\r\nContent-Length: %d\r\n\r\n%s",
		len(validBody), validBody[:len(validBody)/2])
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	checkRefusal(t, resp, http.StatusBadRequest, bbtverdict.NotRun, bbtverdict.ReasonBadRequest)
	if got, want := s.submitted.Load(), int64(0); got != want {
		t.Errorf("got %d requests submitted, want %d", got, want)
	}
}

func TestServerRefusesRequestsAboveConcurrencyLimit(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := &scheduler{submit: func(context.Context, bluebelltray.Request) (bluebelltray.Response, error) {
		entered <- struct{}{}
		<-release
		return eventStream{strings.NewReader("data: [DONE]\n\n")}, nil
	}}
	addr, _ := serve(t, s, bbthttp.WithMaxConcurrentRequests(1))
	first := make(chan int, 1)
	go func() {
		resp, _ := post(t, addr, "/v1/completions", "a", validBody)
		first <- resp.StatusCode
	}()
	<-entered
	for range 3 {
		resp, _ := post(t, addr, "/v1/completions", "a", validBody)
		checkRefusal(t, resp, http.StatusServiceUnavailable, bbtverdict.NotRun, bbtverdict.ReasonOverloaded)
		if got, want := resp.Header.Get("Retry-After"), "1"; got != want {
			t.Errorf("got Retry-After %q, want %q", got, want)
		}
	}
	close(release)
	if got, want := <-first, http.StatusOK; got != want {
		t.Errorf("got status %d for the first request, want %d", got, want)
	}
	if got, want := s.submitted.Load(), int64(1); got != want {
		t.Errorf("got %d requests submitted, want %d", got, want)
	}
}

func TestServerForwardsCompleteStream(t *testing.T) {
	text := strings.Repeat("data: x\n\n", 2000) + "data: [DONE]\n\n"
	addr, _ := serve(t, respondWith(text))
	resp, got := post(t, addr, "/v1/completions", "a", validBody)
	if got != text {
		t.Errorf("got %d bytes, want the %d bytes sent", len(got), len(text))
	}
	if got, want := resp.Trailer.Get(bbthttp.HeaderVerdict), "ran"; got != want {
		t.Errorf("got trailer verdict %q, want %q", got, want)
	}
}

// truncated is a reader that fails because the response is incomplete.
type truncated struct{}

func (truncated) Read([]byte) (int, error) {
	return 0, bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonResponseIncomplete)
}

func TestServerAbortsIncompleteResponse(t *testing.T) {
	s := &scheduler{submit: func(context.Context, bluebelltray.Request) (bluebelltray.Response, error) {
		return eventStream{io.MultiReader(strings.NewReader("data: x\n\n"), truncated{})}, nil
	}}
	addr, counters := serve(t, s)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(validBody))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(bbthttp.HeaderAccount, "a")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil {
		t.Errorf("got complete response %q, want an error", data)
	}
	if got, want := string(data), "data: x\n\n"; got != want {
		t.Errorf("got %q before the error, want %q", got, want)
	}
	if got, want := counters.Refusals(bbtverdict.ReasonResponseIncomplete), int64(1); got != want {
		t.Errorf("got %d incomplete responses counted, want %d", got, want)
	}
}

func TestServerRefusalCarriesVerdictAndTicket(t *testing.T) {
	s := &scheduler{submit: func(context.Context, bluebelltray.Request) (bluebelltray.Response, error) {
		return nil, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonTicketRequired,
			bbtverdict.WithTicket("t1"), bbtverdict.WithRetryAfter(1500*time.Millisecond))
	}}
	addr, _ := serve(t, s)
	resp, body := post(t, addr, "/services/billing/invoice", "a", "bill")
	checkRefusal(t, resp, http.StatusPreconditionRequired, bbtverdict.NotRun, bbtverdict.ReasonTicketRequired)
	if got, want := resp.Header.Get(bbthttp.HeaderTicket), "t1"; got != want {
		t.Errorf("got ticket %q, want %q", got, want)
	}
	if got, want := resp.Header.Get("Retry-After"), "2"; got != want {
		t.Errorf("got Retry-After %q, want %q, rounded up", got, want)
	}
	want := `{"verdict":"not-run","reason":"ticket-required","message":"not-run: ticket-required","retry-after":"1.5s","ticket":"t1"}`
	if got := strings.TrimSpace(body); got != want {
		t.Errorf("got body %s, want %s", got, want)
	}
}
