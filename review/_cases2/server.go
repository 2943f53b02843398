package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that a server has run.
type arrival struct {
	at     time.Time
	id     string
	server string
}

// server is a sound server that works on requests at once up to its slots, and rejects
// those beyond a short queue.
type server struct {
	entry  serverEntry
	store  *store
	slots  chan struct{}
	events int           // of a stream; 0 for a plain answer
	first  time.Duration // until the first event, or the whole answer
	gap    time.Duration // between events
	answer string        // plain

	mu      sync.Mutex
	leaving bool
	ended   bool
	runs    []arrival
	stop    chan struct{}
	listen  net.Listener
}

// newServer starts a server and registers it.
func newServer(st *store, id, service, zone string, slots, events int, first, gap time.Duration) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &server{
		entry: serverEntry{ID: id, Service: service, Address: l.Addr().String(), Zone: zone, Version: "v1", Slots: slots, State: "ready", Seq: 1, Born: time.Now().UnixMilli()},
		store: st, slots: make(chan struct{}, slots), events: events, first: first, gap: gap, stop: make(chan struct{}), listen: l,
	}
	st.put(s.entry.key(), s.entry)
	go s.beat()
	go func() { _ = http.Serve(l, s) }()
	return s
}

// beat renews the server's entry every heartbeat.
func (s *server) beat() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
		s.mu.Lock()
		s.entry.Seq++
		e, ended := s.entry, s.ended
		s.mu.Unlock()
		if !ended {
			s.store.put(e.key(), e)
		}
	}
}

// drain reports that the server leaves and returns the time of the confirmation. From
// then on the server says so in all its answers.
func (s *server) drain() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.entry.State = true, "draining"
	s.entry.Seq++
	return s.store.put(s.entry.key(), s.entry)
}

// end ends the server, whose entry is removed.
func (s *server) end() {
	s.mu.Lock()
	s.ended = true
	close(s.stop)
	s.mu.Unlock()
	s.store.remove(s.entry.key())
	s.listen.Close()
}

// runsAfter returns the requests that the server has run later than a time.
func (s *server) runsAfter(t time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []arrival
	for _, a := range s.runs {
		if a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}

// ServeHTTP answers a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at, id := time.Now(), r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	s.mu.Lock()
	if s.leaving {
		h.Set("Server-Leaving", "1")
	}
	s.mu.Unlock()
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", s.entry.ID)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.entry.ID {
		h.Set("X-Instance-Id", s.entry.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-time.After(20 * time.Millisecond):
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs = append(s.runs, arrival{at, id, s.entry.ID})
	s.mu.Unlock()
	logAt(at, "server %s runs %s", s.entry.ID, id)
	sleep(r, s.first)
	h.Set("X-Response-Seal", "seal."+id)
	if s.events == 0 {
		body := s.answer
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = fmt.Fprint(w, body)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	for i := 1; i <= s.events; i++ {
		if i > 1 {
			sleep(r, s.gap)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// sleep waits unless the caller leaves.
func sleep(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}
