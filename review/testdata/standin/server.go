package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// arrival is a request that has reached a server.
type arrival struct {
	at      time.Time
	id      string
	server  string // name of the server, the same for all its incarnations
	path    string // request target as received
	prefix  string // X-Prefix-Hash
	notRun  bool
	status  int
	machine string // that the client had connected to, from the id
	tenant  string
	tokens  int // sum of X-Token-Counts
}

// server is a stand-in for a server of a service. It registers itself, echoes the
// request's id, sets the seal, and runs slots requests at a time.
type server struct {
	name, service, address, zone string
	slots                        int
	work                         time.Duration
	store                        *store
	rec                          *record
	// behave answers a request that the server runs, after its work. It returns false
	// for the usual answer.
	behave func(s *server, w http.ResponseWriter, r *http.Request, a *arrival) bool
	// headers adds headers to all answers.
	headers func(s *server, h http.Header)

	mu       sync.Mutex
	starts   int
	id       string
	born     int64
	seq      int
	up       bool
	http     *http.Server
	beats    chan struct{}
	busy     chan struct{}
	waiting  int
	crashes  []time.Time
	arrivals *arrivals
}

// arrivals are the requests that have reached the servers.
type arrivals struct {
	mu   sync.Mutex
	list []*arrival
}

func (a *arrivals) add(x *arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

func (a *arrivals) all() []*arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*arrival(nil), a.list...)
}

// start begins a new incarnation.
func (s *server) start() error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", s.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.starts++
	s.id = fmt.Sprintf("i-%s-%d", s.name, s.starts)
	s.born = time.Now().UnixMilli()
	s.seq, s.up = 0, true
	s.busy = make(chan struct{}, s.slots)
	s.waiting = 0
	id, born := s.id, s.born
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, id) })}
	s.beats = make(chan struct{})
	srv, beats := s.http, s.beats
	s.mu.Unlock()
	s.rec.printf("server %s starts as %s", s.name, id)
	s.register()
	go srv.Serve(l)
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				s.mu.Lock()
				alive := s.up && s.born == born
				s.mu.Unlock()
				if alive {
					s.register()
				}
			case <-beats:
				return
			}
		}
	}()
	return nil
}

// register writes the server's entry.
func (s *server) register() {
	s.mu.Lock()
	s.seq++
	id := s.id
	value, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": 1, "slots": s.slots,
		"state": "ready", "cold_left_ms": 0, "seq": s.seq, "born": s.born,
	})
	s.mu.Unlock()
	s.store.put("servers/"+id, value)
}

// crash ends the process: all its channels and its listener close. The entry goes
// after three heartbeats, and the server is back after down.
func (s *server) crash(down time.Duration) {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	s.crashes = append(s.crashes, time.Now())
	id, srv, beats := s.id, s.http, s.beats
	s.mu.Unlock()
	close(beats)
	s.rec.printf("server %s crashes (%s)", s.name, id)
	srv.Close()
	time.AfterFunc(3*heartbeat, func() { s.store.remove("servers/" + id) })
	time.AfterFunc(down, func() {
		if err := s.start(); err != nil {
			s.rec.say("server %s does not start: %v", s.name, err)
		}
	})
}

// stop ends the server for good.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up = false
	if s.http != nil {
		s.http.Close()
	}
}

// enter takes a slot, or reports that the server is full.
func (s *server) enter(r *http.Request) (leave func(), ok bool) {
	s.mu.Lock()
	busy := s.busy
	if s.waiting >= 4*s.slots {
		s.mu.Unlock()
		return nil, false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case busy <- struct{}{}:
		return func() { <-busy }, true
	case <-r.Context().Done():
		return nil, false
	}
}

func (s *server) serve(w http.ResponseWriter, r *http.Request, id string) {
	h := w.Header()
	if s.headers != nil {
		s.headers(s, h)
	}
	switch r.URL.Path {
	case "/health":
		h.Set("X-Instance-Id", id)
		return
	case "/-/report":
		h.Set("Content-Type", "application/json")
		io.WriteString(w, `{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1,"queued":0,"running":0,"kv_used":0,"kv_total":900000,"handles":0}`)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := &arrival{at: time.Now(), id: r.Header.Get("X-Request-Id"), server: s.name, path: r.RequestURI, prefix: r.Header.Get("X-Prefix-Hash")}
	a.machine, a.tenant = machineOf(a.id), r.Header.Get("X-Tenant")
	for n := range strings.SplitSeq(r.Header.Get("X-Token-Counts"), ",") {
		tokens, _ := strconv.Atoi(n)
		a.tokens += tokens
	}
	s.arrivals.add(a)
	h.Set("X-Request-Id", a.id)
	notRun := func(status int) {
		a.notRun, a.status = true, status
		h.Set("X-Not-Executed", "1")
		h.Set("Content-Length", "0")
		w.WriteHeader(status)
		s.rec.printf("server %s does not run %s: %d", s.name, a.id, status)
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != id {
		notRun(http.StatusMisdirectedRequest)
		return
	}
	leave, ok := s.enter(r)
	if !ok {
		notRun(http.StatusServiceUnavailable)
		return
	}
	defer leave()
	s.rec.printf("server %s runs %s: %s %s, %d bytes", s.name, a.id, r.Method, r.RequestURI, len(body))
	a.status = http.StatusOK
	if s.behave != nil && s.behave(s, w, r, a) {
		return
	}
	time.Sleep(s.work)
	s.answer(w, a)
}

// answer sends the usual answer of a plain call.
func (s *server) answer(w http.ResponseWriter, a *arrival) {
	body := bytes.Repeat([]byte("x"), 800)
	w.Header().Set("X-Response-Seal", "seal."+a.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(a.status)
	w.Write(body)
	s.rec.printf("server %s answers %s: %d", s.name, a.id, a.status)
}

// stream sends events, of which the first comes after the work.
func (s *server) stream(w http.ResponseWriter, r *http.Request, a *arrival, from, events int, gap time.Duration) {
	w.Header().Set("X-Response-Seal", "seal."+a.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for n := from; n <= events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(gap)
	}
	s.rec.printf("server %s ends the stream of %s", s.name, a.id)
}
