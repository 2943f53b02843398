package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// keptChannel is a client's channel that carries several requests.
type keptChannel struct {
	c    *clients
	edge *edge
	conn net.Conn
	r    *bufio.Reader
}

// keep opens a channel to a machine.
func (c *clients) keep(e *edge) (*keptChannel, error) {
	conn, err := net.DialTimeout("tcp", e.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptChannel{c: c, edge: e, conn: conn, r: bufio.NewReader(conn)}, nil
}

// stream sends a request and reads its answer. It returns the request's id, whether the
// answer is complete, and whether the channel was closed in its midst.
func (k *keptChannel) stream(target, body string, deadline time.Duration) (id string, complete, closed bool) {
	id = fmt.Sprintf("%s-%06d", k.edge.name, k.c.next.Add(1))
	k.conn.SetDeadline(time.Now().Add(deadline))
	k.c.f.rec.printf("client sends %s on a kept channel: POST %s", id, target)
	fmt.Fprintf(k.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Model: m\r\nX-Token-Counts: 660,600\r\nX-Prefix-Hash: 5c1e07a2:60,%x:600\r\nContent-Length: %d\r\n\r\n%s",
		target, hostName, apiKey, id, deadline.Milliseconds(), rand.Uint32(), len(body), body)
	resp, err := http.ReadResponse(k.r, nil)
	if err != nil {
		k.c.f.rec.printf("client gets no answer to %s: %v", id, err)
		return id, false, true
	}
	data, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	events := strings.Count(string(data), "\n\n")
	if err != nil {
		k.c.f.rec.printf("client's channel is closed within the answer to %s: %d, %d events, %v", id, resp.StatusCode, events, err)
		return id, false, true
	}
	k.c.f.rec.printf("client gets the answer to %s: %d, %d events", id, resp.StatusCode, events)
	return id, resp.StatusCode == http.StatusOK, false
}

// playSilent: a sound server falls silent for a second or so while the other one is full.
func playSilent(f *fleet, trouble bool) (bool, error) {
	const (
		silence = 1300 * time.Millisecond
		full    = 2500 * time.Millisecond
		rounds  = 4
		streams = 12
	)
	var silentUntil, fullUntil atomic.Pointer[time.Time]
	past := time.Now()
	silentUntil.Store(&past)
	fullUntil.Store(&past)
	for i := range 2 {
		s := &server{name: fmt.Sprintf("s%d", i+1), service: "testi-modello", slots: 18}
		s.behave = func(s *server, w http.ResponseWriter, r *http.Request, a *arrival) bool {
			if s.name == "s2" && time.Now().Before(*fullUntil.Load()) {
				a.notRun, a.status = true, http.StatusServiceUnavailable
				w.Header().Set("X-Not-Executed", "1")
				w.Header().Set("Content-Length", "0")
				w.WriteHeader(a.status)
				s.rec.printf("server %s is full and does not run %s: 503", s.name, a.id)
				return true
			}
			from, n, events := 1, 0, 100
			if strings.HasSuffix(a.path, "/short") {
				events = 3
			}
			if last := r.Header.Get("Last-Event-Id"); last != "" {
				fmt.Sscan(last, &n)
				from = n + 1
			}
			time.Sleep(20 * time.Millisecond)
			w.Header().Set("X-Response-Seal", "seal."+a.id)
			w.Header().Set("Content-Type", "text/event-stream")
			for n := from; n <= events; n++ {
				if s.name == "s1" {
					time.Sleep(time.Until(*silentUntil.Load()))
				}
				fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
				if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
					s.rec.printf("server %s is left in the midst of %s, after event %d", s.name, a.id, n)
					return true
				}
				time.Sleep(40 * time.Millisecond)
			}
			s.rec.printf("server %s ends the stream of %s", s.name, a.id)
			return true
		}
		if _, err := f.addServer(s); err != nil {
			return false, err
		}
	}
	route := map[string]any{"name": "consenso", "host": hostName, "prefix": "/consenso/", "service": "testi-modello", "kind": "streaming",
		"timeout_ms": 15000, "target_latency_ms": 500, "gap_aim_ms": 250, "max_attempts": 2, "priority": 0, "sticky": true, "resumable": true}
	service := map[string]any{"name": "testi-modello", "health_path": "/health", "engine": map[string]any{"slots": 18, "stride": 6, "kv_capacity": 976781}}
	f.configure(1, []map[string]any{route}, []map[string]any{service})
	if err := f.startEdges(2); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var cut []string
	all, done := 0, 0
	for round := range rounds {
		for _, e := range f.edges {
			f.rec.printf("machine %s gets SIGHUP", e.name)
			if err := e.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				return false, err
			}
		}
		var wg sync.WaitGroup
		for n := range streams {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(n) * 40 * time.Millisecond)
				k, err := f.clients.keep(f.edges[n%len(f.edges)])
				if err != nil {
					f.rec.say("client: %v", err)
					return
				}
				defer k.conn.Close()
				k.stream("/consenso/short", "first", 15*time.Second)
				id, complete, closed := k.stream("/consenso/long", fmt.Sprint("letter ", round, n), 15*time.Second)
				mu.Lock()
				defer mu.Unlock()
				all++
				if complete {
					done++
				}
				if closed {
					cut = append(cut, id)
				}
			}()
		}
		time.Sleep(1500 * time.Millisecond)
		if trouble {
			now := time.Now()
			fullEnd, silentEnd := now.Add(full), now.Add(silence)
			f.rec.printf("server s1 falls silent for %v, server s2 is full for %v", silence, full)
			fullUntil.Store(&fullEnd)
			silentUntil.Store(&silentEnd)
		}
		wg.Wait()
		time.Sleep(4 * time.Second)
	}
	ofSound := 0
	for _, id := range cut {
		for _, a := range f.arrivals.all() {
			if a.id == id && a.server == "s1" && !a.notRun {
				ofSound++
				break
			}
		}
	}
	f.rec.say("%d streams on kept channels, %d complete, %d ended by a closed channel, %d of them running at the sound server s1 (allowed: 3)", all, done, len(cut), ofSound)
	return ofSound > 3, nil
}

func init() { plays["silent"] = playSilent }
