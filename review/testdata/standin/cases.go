package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const contact = 3 * time.Second

// plainRoute is a route to a plain service.
func plainRoute(name, prefix, kind string, attempts, timeoutMS, targetMS int) map[string]any {
	return map[string]any{"name": name, "host": hostName, "prefix": prefix, "service": "logistica-app", "kind": kind,
		"timeout_ms": timeoutMS, "target_latency_ms": targetMS, "max_attempts": attempts, "priority": 2}
}

var plainService = map[string]any{"name": "logistica-app", "health_path": "/health"}

// most returns the largest number of times within a window, and the beginning of it.
func most(times []time.Time, d time.Duration) (n int, from time.Time) {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	for i, t := range times {
		j := i
		for j < len(times) && times[j].Before(t.Add(d)) {
			j++
		}
		if j-i > n {
			n, from = j-i, t
		}
	}
	return n, from
}

// playTainted: one part of a prompt crashes each server that begins to write an answer.
func playTainted(f *fleet, trouble bool) (bool, error) {
	const taint = "bad0bad0"
	for i := range 9 {
		s := &server{name: fmt.Sprintf("s%d", i+1), service: "testi-modello", slots: 18}
		s.behave = func(s *server, w http.ResponseWriter, r *http.Request, a *arrival) bool {
			from := 1
			if n := 0; r.Header.Get("Last-Event-Id") != "" {
				fmt.Sscan(r.Header.Get("Last-Event-Id"), &n)
				from = n + 1
			}
			time.Sleep(60 * time.Millisecond)
			if trouble && strings.Contains(a.prefix, taint+":") {
				w.Header().Set("X-Response-Seal", "seal."+a.id)
				w.Header().Set("Content-Type", "text/event-stream")
				w.WriteHeader(http.StatusOK)
				fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", from, from)
				http.NewResponseController(w).Flush()
				time.Sleep(20 * time.Millisecond)
				s.crash(3 * time.Second)
				return true
			}
			s.stream(w, r, a, from, 12, 20*time.Millisecond)
			return true
		}
		if _, err := f.addServer(s); err != nil {
			return false, err
		}
	}
	route := map[string]any{"name": "consenso", "host": hostName, "prefix": "/consenso/", "service": "testi-modello", "kind": "streaming",
		"timeout_ms": 15000, "target_latency_ms": 500, "gap_aim_ms": 300, "max_attempts": 2, "priority": 0, "sticky": true, "resumable": true}
	service := map[string]any{"name": "testi-modello", "health_path": "/health",
		"engine": map[string]any{"slots": 18, "stride": 6, "kv_capacity": 976781}}
	f.configure(1, []map[string]any{route}, []map[string]any{service})
	if err := f.startEdges(2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	prompt := func(part string, n int) map[string]string {
		return map[string]string{"X-Model": "m", "X-Token-Counts": "660,72", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:60,%s:200,%x:400", part, rand.Uint32())}
	}
	f.clients.load(10, stop, func(n int) request {
		return request{method: http.MethodPost, target: "/consenso/x", body: fmt.Sprint("letter ", n), headers: prompt(fmt.Sprintf("c0%02d", n%8), n), deadline: 15 * time.Second}
	})
	time.Sleep(2 * time.Second)
	f.clients.load(0.5, stop, func(n int) request {
		return request{method: http.MethodPost, target: "/consenso/x", body: fmt.Sprint("tainted letter ", n), headers: prompt(taint, n), deadline: 15 * time.Second}
	})
	time.Sleep(60 * time.Second)
	close(stop)
	f.clients.wg.Wait()
	var crashes []time.Time
	for _, s := range f.servers {
		crashes = append(crashes, s.crashes...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) < 5 {
		f.rec.say("%d crashes", len(crashes))
		return false, nil
	}
	late := 0
	for _, a := range f.arrivals.all() {
		if !a.notRun && strings.Contains(a.prefix, taint+":") && a.at.After(crashes[4].Add(contact)) {
			late++
		}
	}
	f.rec.say("%d crashes of servers; %d requests with the part reached servers later than %v after the fifth (allowed: 3)", len(crashes), late, contact)
	return late > 3, nil
}

// playLimit: the entry of a server that names its Server-Limit is overwritten by
// another writer for a moment.
func playLimit(f *fleet, trouble bool) (bool, error) {
	const (
		limit  = 2.0
		window = 4 * time.Second
	)
	var limited atomic.Bool
	var mu sync.Mutex
	var named time.Time
	for i := range 2 {
		s := &server{name: fmt.Sprintf("s%d", i+1), service: "logistica-app", slots: 40, work: 400 * time.Millisecond}
		if i == 0 {
			s.headers = func(s *server, h http.Header) {
				if !limited.Load() {
					return
				}
				mu.Lock()
				if named.IsZero() {
					named = time.Now()
				}
				mu.Unlock()
				h.Set("Server-Limit", fmt.Sprint(limit))
			}
		}
		if _, err := f.addServer(s); err != nil {
			return false, err
		}
	}
	f.configure(1, []map[string]any{plainRoute("stato", "/stato/", "idempotent", 2, 3000, 1000)}, []map[string]any{plainService})
	if err := f.startEdges(2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	f.clients.load(120, stop, func(n int) request {
		return request{method: http.MethodGet, target: fmt.Sprintf("/stato/%d", n), deadline: 3 * time.Second}
	})
	time.Sleep(4 * time.Second)
	limited.Store(true)
	time.Sleep(12 * time.Second)
	for range 3 {
		if trouble {
			f.servers[0].mu.Lock()
			id := f.servers[0].id
			f.servers[0].mu.Unlock()
			f.rec.printf("another writer overwrites the entry servers/%s", id)
			f.store.put("servers/"+id, []byte(`{"state":"?"}`))
		}
		time.Sleep(8 * time.Second)
	}
	close(stop)
	f.clients.wg.Wait()
	var times []time.Time
	for _, a := range f.arrivals.all() {
		if a.server == "s1" && a.at.After(named.Add(contact)) {
			times = append(times, a.at)
		}
	}
	n, from := most(times, window)
	allowed := 1.5*limit*window.Seconds() + 5
	f.rec.say("server s1 names a limit of %.0f a second from %.1f s on: %d requests within %v from %.1f s on (allowed: %.0f)",
		limit, named.Sub(f.rec.start).Seconds(), n, window, from.Sub(f.rec.start).Seconds(), allowed)
	return float64(n) > allowed, nil
}

// playQuota: the machine that counts for all is killed while a tenant uses its burst.
func playQuota(f *fleet, trouble bool) (bool, error) {
	const (
		window = 8 * time.Second
		over   = 0.25
		slack  = 140000
		rounds = 3
		rest   = 25 * time.Second
		prompt = 6000
		output = 100
	)
	for i := range 9 {
		s := &server{name: fmt.Sprintf("s%d", i+1), service: "testi-modello", slots: 18}
		s.behave = func(s *server, w http.ResponseWriter, r *http.Request, a *arrival) bool {
			time.Sleep(15 * time.Millisecond)
			s.stream(w, r, a, 1, 3, 5*time.Millisecond)
			return true
		}
		if _, err := f.addServer(s); err != nil {
			return false, err
		}
	}
	route := map[string]any{"name": "consenso", "host": hostName, "prefix": "/consenso/", "service": "testi-modello", "kind": "streaming",
		"timeout_ms": 15000, "target_latency_ms": 500, "gap_aim_ms": 300, "max_attempts": 2, "priority": 0, "sticky": true, "resumable": true}
	service := map[string]any{"name": "testi-modello", "health_path": "/health", "engine": map[string]any{"slots": 18, "stride": 6, "kv_capacity": 976781}}
	f.configure(1, []map[string]any{route}, []map[string]any{service})
	if err := f.startEdges(2); err != nil {
		return false, err
	}
	next := func(key string) func(int) request {
		return func(n int) request {
			return request{method: http.MethodPost, target: "/consenso/x", key: key, body: fmt.Sprint("letter ", n), deadline: 15 * time.Second,
				headers: map[string]string{"X-Model": "m", "X-Token-Counts": fmt.Sprintf("%d,%d", prompt, output), "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:60,%x:%d", rand.Uint32(), prompt-60)}}
		}
	}
	var begins []time.Time
	all := make(chan struct{})
	f.clients.load(20, all, next(""))
	time.Sleep(6 * time.Second)
	for n := range rounds {
		if n > 0 {
			time.Sleep(rest)
		}
		e := f.owner()
		if e == nil {
			return false, fmt.Errorf("no machine schedules")
		}
		time.Sleep(rand.N(500 * time.Millisecond))
		burst, stop := make(chan struct{}), make(chan struct{})
		f.rec.printf("tenant corrieri begins to send, machine %s schedules", e.name)
		begins = append(begins, time.Now())
		f.clients.load(900, burst, next(cappedKey))
		f.clients.load(80, stop, next(cappedKey))
		time.Sleep(250 * time.Millisecond)
		if trouble {
			go func() {
				if err := f.killEdge(e, time.Second); err != nil {
					f.rec.say("machine %s: %v", e.name, err)
				}
			}()
		}
		time.Sleep(750 * time.Millisecond)
		close(burst)
		time.Sleep(window - time.Second)
		close(stop)
	}
	close(all)
	f.clients.wg.Wait()
	sentAt := make(map[string]time.Time)
	for _, s := range f.clients.all() {
		sentAt[s.id] = s.at
	}
	var list []*arrival
	for _, a := range f.arrivals.all() {
		if !a.notRun && a.tenant == "corrieri" {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *arrival) int { return a.at.Compare(b.at) })
	allowed := int((capRate*window.Seconds()+capBurst)*(1+over)) + slack
	worst, exceeded := 0, 0
	for i, begin := range begins {
		most, at := 0, time.Time{} // of the windows that begin in the first second of the round
		for _, first := range list {
			from := sentAt[first.id]
			if from.Before(begin) || from.After(begin.Add(time.Second)) {
				continue
			}
			sum := 0
			for _, a := range list {
				if !sentAt[a.id].Before(from) && a.at.Before(from.Add(window)) {
					sum += a.tokens
				}
			}
			if sum > most {
				most, at = sum, from
			}
		}
		f.rec.printf("round %d: at most %d tokens within %v, from %.1f s on", i+1, most, window, at.Sub(f.rec.start).Seconds())
		worst = max(worst, most)
		if most > allowed {
			exceeded++
		}
	}
	f.rec.say("tenant corrieri: at most %d tokens were sent and run within %v (allowed: %d); exceeded in %d of %d rounds",
		worst, window, allowed, exceeded, rounds)
	return worst > allowed, nil
}

func init() {
	plays["quota"] = playQuota
	plays["tainted"] = playTainted
	plays["limit"] = playLimit
}
