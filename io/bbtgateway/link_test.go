package bbtgateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
)

// callers returns the remote addresses of the connections over which requests
// reached endpoints.
func (w *world) callers() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]bool)
	for _, r := range w.requests {
		out[r.RemoteAddr] = true
	}
	return out
}

func TestOnlyRepeatableRequestsReuseConnections(t *testing.T) {
	const requests = 5
	for _, c := range []struct {
		path string
		want int
	}{{"/again/", 1}, {"/once/", requests}} {
		w := newWorld(t, 1, sealed(200, "ok"))
		for range requests {
			if resp, _, err := w.send(http.MethodPost, c.path, "body"); err != nil || resp.StatusCode != 200 {
				t.Fatalf("%s: got %v, %v, want 200", c.path, resp, err)
			}
		}
		if got := len(w.callers()); got != c.want {
			t.Errorf("%s: got %d connections for %d requests, want %d", c.path, got, requests, c.want)
		}
	}
}

// keeper answers a request over a connection that it keeps, and then sends a
// text and closes the connection once the next request comes over it.
type keeper struct {
	then string
	next atomic.Bool // the next request came
}

// serve answers the first request.
func (k *keeper) serve(w http.ResponseWriter, r *http.Request) {
	conn, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, _ = rw.WriteString(answerOf(r.Header.Get("Call-Id"), "first"))
	_ = rw.Flush()
	if _, err := rw.ReadByte(); err == nil {
		k.next.Store(true)
	}
	_, _ = rw.WriteString(k.then)
	_ = rw.Flush()
}

// answerOf returns the text of an answer to a request; it names none if id is
// empty.
func answerOf(id, body string) string {
	head := "HTTP/1.1 200 OK\r\nAnswer-Seal: s\r\n"
	if id != "" {
		head += "Call-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func TestUnsolicitedBytesOnIdleConnectionAreDiscarded(t *testing.T) {
	for name, then := range map[string]string{
		"late answer of another request": answerOf("id-0", "other"),
		"late answer that names none":    answerOf("", "other"),
		"foreign bytes":                  "\x00\x01\x02\r\n\r\n",
		"closed":                         "",
	} {
		k := &keeper{then: then}
		w := newWorld(t, 2, k.serve, sealed(200, "second"))
		for _, want := range []string{"first", "second"} {
			if _, body, err := w.send(http.MethodPost, "/again/", "body"); err != nil || body != want {
				t.Errorf("%s: got %q, %v, want %q", name, body, err, want)
			}
		}
		if !k.next.Load() {
			t.Errorf("%s: the next request came over another connection", name)
		}
	}
}
