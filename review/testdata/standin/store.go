package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or the tombstone of one.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"created_rev,omitempty"`
	Lease      uint64 `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 10, items: make(map[string]item), changed: make(chan struct{})}
}

// put writes an entry.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, CreatedRev: s.revision}
	if old, ok := s.items[key]; ok {
		it.CreatedRev = old.CreatedRev
	}
	s.items[key] = it
	s.notify(it)
}

// remove deletes an entry.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.notify(item{Key: key, Revision: s.revision, Tombstone: true})
}

// notify adds an event and wakes the watches. The caller holds mu.
func (s *store) notify(it item) {
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

const pageItems = 500

// ServeHTTP serves the calls that read.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	switch r.URL.Path {
	case "/-/kv-key":
		s.serveKey(w, q.Get("key"))
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

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	json.NewEncoder(w).Encode(struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{it, revision})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	out := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	truncated := len(out) > pageItems
	if truncated {
		out = out[:pageItems]
	}
	json.NewEncoder(w).Encode(map[string]any{"items": out, "truncated": truncated, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for over := false; ; {
		s.mu.Lock()
		out := []item{}
		for _, it := range s.events {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				out = append(out, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(out) > 0 || over {
			json.NewEncoder(w).Encode(map[string]any{"events": out, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// serve listens on an address.
func (s *store) serve(addr string) (*http.Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: s}
	go srv.Serve(l)
	return srv, nil
}
