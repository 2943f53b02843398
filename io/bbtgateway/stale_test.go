package bbtgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// Times at which a staleServer writes its refusal once more.
const (
	atOnce    = "at once"
	whileIdle = "while the connection is idle"
	asNext    = "when the next request has arrived"
	asSecond  = "behind the next answer"
)

// staleServer refuses the first request, and writes that refusal once more. It runs all
// others.
type staleServer struct {
	status int
	when   string
	id     string // of the second refusal; empty for that of the first one, "-" for none

	conns atomic.Int64
	mu    sync.Mutex
	ran   []string      // IDs of the requests that were run
	lost  chan struct{} // gets a value for each connection that the host closes while a request runs
	work  time.Duration // of each request
}

// serve serves the connection of a request.
func (s *staleServer) serve(w http.ResponseWriter, r *http.Request) {
	conn, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	if s.conns.Add(1) > 1 {
		s.run(conn, rw, r)
		s.loop(conn, rw, "")
		return
	}
	id := r.Header.Get("Call-Id")
	again := id
	if s.id != "" {
		again = s.id
	}
	stale := refusal(s.status, again)
	_, _ = rw.WriteString(refusal(s.status, id))
	if s.when == atOnce {
		_, _ = rw.WriteString(stale)
	}
	_ = rw.Flush()
	if s.when == whileIdle {
		<-time.After(20 * time.Millisecond)
		_, _ = rw.WriteString(stale)
		_ = rw.Flush()
	}
	s.loop(conn, rw, stale)
}

// loop runs the further requests of a connection.
func (s *staleServer) loop(conn net.Conn, rw *bufio.ReadWriter, stale string) {
	for first := true; ; first = false {
		r, err := http.ReadRequest(rw.Reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if first && s.when == asNext {
			_, _ = rw.WriteString(stale)
			_ = rw.Flush()
		}
		s.run(conn, rw, r)
		if first && s.when == asSecond {
			_, _ = rw.WriteString(stale)
			_ = rw.Flush()
		}
	}
}

// run answers a request after its work, unless the host closes the connection.
func (s *staleServer) run(conn net.Conn, rw *bufio.ReadWriter, r *http.Request) {
	s.mu.Lock()
	s.ran = append(s.ran, r.Header.Get("Call-Id"))
	s.mu.Unlock()
	_ = conn.SetReadDeadline(time.Now().Add(s.work))
	if _, err := rw.Peek(1); err != nil && !isTimeout(err) {
		select {
		case s.lost <- struct{}{}:
		default:
		}
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	_, _ = rw.WriteString(rawResponse(r.Header.Get("Call-Id"), "id: 1\ndata: "+r.Header.Get("Call-Id")+"\n\n"))
	_ = rw.Flush()
}

// isTimeout reports whether a read has ended with its deadline.
func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// runs returns how often a request was run.
func (s *staleServer) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, ran := range s.ran {
		if ran == id {
			n++
		}
	}
	return n
}

// refusal returns the text of a refusal of the request with an ID, or "-" for none.
func refusal(status int, id string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Refused\r\nContent-Length: 0\r\nNot-Run: 1\r\n", status)
	if id != "-" {
		head += "Call-Id: " + id + "\r\n"
	}
	return head + "\r\n"
}

// Guards against a refusal of an earlier request that is written once more on a kept
// connection and promises the caller of the next one that it has not run.
func TestRefusalWrittenTwicePromisesNothing(t *testing.T) {
	for _, target := range []string{"/again/a", "/resume/a", "/once/a"} {
		for _, when := range []string{atOnce, whileIdle, asNext, asSecond} {
			for _, id := range []string{"", "-"} {
				for _, status := range []int{503, 429, 421} {
					if when != asNext && (status != 503 || id != "") {
						continue
					}
					t.Run(strings.ReplaceAll(fmt.Sprintf("%s %s %d id%s", target, when, status, id), "/", ""), func(t *testing.T) {
						t.Parallel()
						s := &staleServer{status: status, when: when, id: id, lost: make(chan struct{}, 9), work: 30 * time.Millisecond}
						g := newTestGateway(t, 1, s.serve)
						if resp, _, err := g.send(http.MethodPost, target, "x", "Call-Id", "first"); err != nil || resp.StatusCode != 503 {
							t.Fatalf("got %v, %v, want the refusal", resp, err)
						}
						<-time.After(40 * time.Millisecond)
						for _, next := range []string{"second", "third"} {
							resp, body, err := g.send(http.MethodPost, target, "x", "Call-Id", next)
							switch {
							case err != nil:
								t.Errorf("%s: got %v, want an answer", next, err)
							case resp.StatusCode == 200 && body != "id: 1\ndata: "+next+"\n\n":
								t.Errorf("%s: got %q, the answer of another request", next, body)
							case resp.StatusCode != 200 && resp.StatusCode != 502 && s.runs(next) > 0:
								t.Errorf("%s: got status %d for a request that was run", next, resp.StatusCode)
							}
							if got := s.runs(next); got > 1 {
								t.Errorf("%s: got %d runs, want at most one", next, got)
							}
						}
					})
				}
			}
		}
	}
}

// Guards against a request that goes on at an endpoint while it is sent to the next
// one: an answer to another request leaves the connection open.
func TestConnectionOfAnotherAnswerIsClosed(t *testing.T) {
	for _, target := range []string{"/again/a", "/resume/a"} {
		s := &staleServer{status: 503, when: asNext, lost: make(chan struct{}, 9), work: 3 * time.Second}
		g := newTestGateway(t, 1, s.serve)
		if resp, _, err := g.send(http.MethodPost, target, "x", "Call-Id", "first"); err != nil || resp.StatusCode != 503 {
			t.Fatalf("got %v, %v, want the refusal", resp, err)
		}
		if resp, _, err := g.send(http.MethodPost, target, "x", "Call-Id", "second"); err != nil || resp.StatusCode != 502 {
			t.Fatalf("got %v, %v, want status 502", resp, err)
		}
		select {
		case <-s.lost:
		case <-time.After(300 * time.Millisecond):
			t.Errorf("%s: the endpoint works on 300 ms after the host has given up on its answer", target)
		}
	}
}

// Guards against a refusal of an earlier dispatch of the same request, which no ID tells
// from one of the present dispatch, at an address that two endpoints have.
func TestRefusalOfTheSameRequestPromisesNothing(t *testing.T) {
	for _, target := range []string{"/again/a", "/resume/a"} {
		s := &staleServer{status: 503, when: asNext, lost: make(chan struct{}, 9), work: 30 * time.Millisecond}
		g := newTestGateway(t, 1, s.serve)
		g.changes <- bbtcatalog.Update{Revision: 2, Changes: []bbtcatalog.Change{{Revision: 2, Endpoint: &bbtcatalog.Endpoint{
			ID: "i-1", Service: "plain", Slots: 64, Address: g.addrs[0],
		}}}}
		<-time.After(20 * time.Millisecond) // until the change is applied
		resp, body, err := g.send(http.MethodPost, target, "x")
		if want := "id: 1\ndata: id-1\n\n"; err != nil || resp.StatusCode != 200 || body != want {
			t.Errorf("%s: got %v %q, %v, want %q", target, resp, body, err, want)
		}
		if got := s.runs("id-1"); got != 1 {
			t.Errorf("%s: got %d runs, want 1", target, got)
		}
	}
}
