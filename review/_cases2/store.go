package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or the tombstone of a deleted one.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created_rev,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's store, which daemons read by ranges and watches.
type store struct {
	addr string

	mu       sync.Mutex
	revision uint64
	live     map[string]item
	history  []item
	changed  chan struct{}
}

// newStore starts an empty store.
func newStore() *store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &store{addr: l.Addr().String(), revision: 10, live: make(map[string]item), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s
}

// put writes an entry and returns the time of the confirmation.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: data, Revision: s.revision, Created: s.revision}
	if old, ok := s.live[key]; ok {
		it.Created = old.Created
	}
	s.live[key] = it
	s.noteLocked(it)
	return time.Now()
}

// remove deletes an entry and returns the time of the confirmation.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.live, key)
	s.noteLocked(item{Key: key, Revision: s.revision, Tombstone: true})
	return time.Now()
}

func (s *store) noteLocked(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves /-/kv-range and /-/kv-watch.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	switch r.URL.Path {
	case "/-/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/-/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(min(wait, 30000))*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for _, it := range s.live {
		if strings.HasPrefix(it.Key, prefix) && it.Key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "store_revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events, changed, revision := []item{}, s.changed, s.revision
		for i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after }); i < len(s.history); i++ {
			if strings.HasPrefix(s.history[i].Key, prefix) {
				events = append(events, s.history[i])
			}
		}
		s.mu.Unlock()
		if after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "store_revision": revision})
		return
	}
}

// serverEntry is what a server writes of itself.
type serverEntry struct {
	ID      string `json:"-"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Cold    int    `json:"cold_left_ms"`
	Seq     int    `json:"seq"`
	Born    int64  `json:"born"`
}

func (e serverEntry) key() string { return "servers/" + e.ID }

// route is a route of the configuration.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"kind"`
	TimeoutMS int    `json:"timeout_ms"`
	TargetMS  int    `json:"target_latency_ms"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"max_attempts"`
	Public    bool   `json:"public"`
	Sticky    bool   `json:"sticky"`
	Resumable bool   `json:"resumable"`
	GapMS     int    `json:"gap_aim_ms,omitempty"`
}

// config returns the value of op/config.
func config(version int, routes []route, services []map[string]any, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// check ends the case as one that could not run.
func check(err error) {
	if err != nil {
		exit(2, fmt.Sprintf("could not run: %v", err))
	}
}
