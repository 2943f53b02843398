package bbtgateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/io/bbtedge"
	"bluebelltray/io/bbtgateway"
	"bluebelltray/io/bbtmetric"
	"bluebelltray/io/bbtpeer"
)

// noPeers is the peer side of a host that is alone.
type noPeers struct {
	inbox chan bbtpeer.Inbound
	lost  chan bbtfleet.HostID
}

func (noPeers) SetHosts([]bbtfleet.Host)        {}
func (noPeers) Send(bbtfleet.HostID, any) bool  { return true }
func (noPeers) Reset(bbtfleet.HostID)           {}
func (p noPeers) Inbox() <-chan bbtpeer.Inbound { return p.inbox }
func (p noPeers) Lost() <-chan bbtfleet.HostID  { return p.lost }
func (noPeers) Close() error                    { return nil }

// published is a source that never changes.
type published struct{ update bbtcatalog.Update }

func (p published) Load(context.Context) (bbtcatalog.Update, error) { return p.update, nil }

func (p published) Watch(ctx context.Context, _ uint64, _ time.Duration) (bbtcatalog.Update, error) {
	<-ctx.Done()
	return bbtcatalog.Update{}, ctx.Err()
}

// script is what an endpoint answers to its requests, one after the other; the
// last one goes for all that follow.
type script []http.HandlerFunc

// world is one host with endpoints that follow a script in the order in which
// requests reach any of them.
type world struct {
	t        *testing.T
	front    *httptest.Server
	mu       sync.Mutex
	script   script
	requests []*http.Request // that reached endpoints
	bodies   []string
}

// bounds allow the repeats of the tests.
var bounds = bbtcatalog.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 20}

// config is the configuration of all worlds.
func config() *bbtcatalog.Config {
	route := func(prefix string, kind bbtcatalog.Kind, resumable bool) bbtcatalog.Route {
		return bbtcatalog.Route{
			Name: prefix, Domain: "h.example", Prefix: prefix, Kind: kind, Resumable: resumable, MaxAttempts: 2,
			Timeout: 10 * time.Second, LatencyObjective: 5 * time.Second, Targets: []bbtcatalog.Target{{Service: "plain", Weight: 1}},
		}
	}
	hasty := route("/hasty/", bbtcatalog.Streaming, true)
	hasty.LatencyObjective, hasty.MaxEventGap = 50*time.Millisecond, 50*time.Millisecond
	prompt := route("/prompt/", bbtcatalog.Idempotent, false)
	prompt.LatencyObjective = 50 * time.Millisecond
	open := route("/open/", bbtcatalog.Idempotent, false)
	open.Public = true
	return &bbtcatalog.Config{
		Version: 1, RequireKey: true,
		Routes: []bbtcatalog.Route{
			route("/once/", bbtcatalog.AtMostOnce, false), route("/again/", bbtcatalog.Idempotent, false),
			route("/stream/", bbtcatalog.Streaming, false), route("/resume/", bbtcatalog.Streaming, true), open, hasty, prompt,
		},
		Services: []bbtcatalog.Service{{Name: "plain"}},
		Accounts: []bbtcatalog.Account{{Name: "salons", Keys: []string{"key"}}},
		Limits:   bbtcatalog.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 100_000},
	}
}

// newWorld starts a host with n endpoints.
func newWorld(t *testing.T, n int, s ...http.HandlerFunc) *world {
	t.Helper()
	w := &world{t: t, script: s}
	u := bbtcatalog.Update{Revision: 1, Full: true, Changes: []bbtcatalog.Change{{Revision: 1, Config: config()}}}
	for i := range n {
		srv := httptest.NewServer(http.HandlerFunc(w.serve))
		t.Cleanup(srv.Close)
		u.Changes = append(u.Changes, bbtcatalog.Change{Revision: 1, Endpoint: &bbtcatalog.Endpoint{
			ID: fmt.Sprintf("i-%d", i), Service: "plain", Slots: 64, Address: strings.TrimPrefix(srv.URL, "http://"),
		}})
	}
	counters := bbtmetric.New()
	e := bbtedge.New(bbtedge.Settings{Host: "10.0.0.1", Callers: "10.0.0.1:1", CallerPort: "1", First: true, Bounds: bounds},
		published{u}, noPeers{make(chan bbtpeer.Inbound), make(chan bbtfleet.HostID)}, bbtedge.WithCounters(counters))
	t.Cleanup(e.Close)
	w.front = httptest.NewServer(bbtgateway.New(e, dialect{}, bbtgateway.WithCounters(counters)))
	t.Cleanup(w.front.Close)
	for !e.Ready() {
		<-time.After(time.Millisecond)
	}
	return w
}

// serve plays the next part of the script.
func (w *world) serve(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.mu.Lock()
	part := w.script[min(len(w.requests), len(w.script)-1)]
	w.requests = append(w.requests, r)
	w.bodies = append(w.bodies, string(body))
	w.mu.Unlock()
	rw.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	part(rw, r)
}

// reached returns how many requests reached endpoints.
func (w *world) reached() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests)
}

// send sends a caller's request and returns the answer's status, headers and
// body, and the error at its end.
func (w *world) send(method, target, body string, headers ...string) (*http.Response, string, error) {
	w.t.Helper()
	req, err := http.NewRequest(method, w.front.URL+target, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Call-Id", "id-1")
	req.Header.Set("Account-Key", "key")
	req.Header.Set("Left-Ms", "8000")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := w.front.Client().Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// sealed answers with a status, a seal and a body.
func sealed(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Answer-Seal", "seal")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// notRun answers that the request was not run.
func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// broken sends bytes and cuts the connection.
func broken(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, rw, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = rw.WriteString(text)
		_ = rw.Flush()
		if tcp, ok := conn.(*net.TCPConn); ok && text == "" {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// events answers with a part of a stream and cuts it off behind it.
func events(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Answer-Seal", "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// silent answers with a part of a stream, or with nothing, and then falls silent.
func silent(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if text != "" {
			w.Header().Set("Answer-Seal", "seal")
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
	}
}
