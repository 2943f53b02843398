package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relay passes channels on to a server. Those that are open can fall silent for good,
// without a reset, while new ones work.
type relay struct {
	addr string

	mu     sync.Mutex
	silent *atomic.Bool // of the channels that are open now
}

// newRelay starts a relay to a server.
func newRelay(to string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r := &relay{addr: l.Addr().String(), silent: new(atomic.Bool)}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			check(err)
			r.mu.Lock()
			silent := r.silent
			r.mu.Unlock()
			go pass(out, in, silent)
			go pass(in, out, silent)
		}
	}()
	return r
}

// silence makes all open channels fall silent.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent.Store(true)
	r.silent = new(atomic.Bool)
}

// pass passes bytes on until an end closes. Once the channel is silent, nothing arrives,
// neither bytes nor the close.
func pass(to, from net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if silent.Load() {
			if err == nil {
				_, _ = io.Copy(io.Discard, from)
			}
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// routeMovedSilentStore: the open channels to the store fall silent, new ones work. Soon
// afterwards the operator moves a route to another service. Once the machines are in touch
// again and the time to apply a configuration is over, the old service must get no request.
func routeMovedSilentStore() {
	const contact, apply = 3000 * time.Millisecond, 2000 * time.Millisecond
	st := newStore()
	version := 7
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_conns": 110, "cold_start_s": 0.0, "cold_per_s": 0.0}
	}
	write := func(name string, timeoutMS int) time.Time {
		version += 2
		return st.put("op/config", config(version,
			[]route{{Name: "r1", Host: "h.example", Prefix: "/a/", Kind: "non_idempotent", TimeoutMS: timeoutMS, TargetMS: 100, Service: name, Attempts: 1}},
			[]map[string]any{service("old"), service("new")},
			[]map[string]any{{"name": "t1", "api_keys": []string{"key1"}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 270192, "burst": 270192}}))
	}
	write("old", 800)
	before := newServer(st, "i-1", "old", "z1", 6, 0, 15*time.Millisecond, 0)
	after := newServer(st, "i-2", "new", "z1", 6, 0, 15*time.Millisecond, 0)
	before.answer, after.answer = "booked by the old service", "booked by the new service"
	link := newRelay(st.addr)
	f := newFleet(2, link.addr)
	f.awaitReady()
	time.Sleep(3 * time.Second)
	logAt(write("old", 900), "the operator changes a time-out")
	time.Sleep(350 * time.Millisecond)
	calm := time.Now()
	if trouble {
		link.silence()
		logAt(calm, "the open channels to the store fall silent; new ones work")
	}
	time.Sleep(100 * time.Millisecond)
	moved := write("new", 900)
	logAt(moved, "the store confirms that the route leads to the new service")
	from := moved.Add(apply)
	if in := calm.Add(contact); in.After(from) {
		from = in
	}
	time.Sleep(time.Until(from.Add(20 * time.Millisecond)))
	var wg sync.WaitGroup
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, h := range f.hosts {
			wg.Go(func() {
				_, _, _, _ = ask(h, "POST", "/a/book", "key1", 1500*time.Millisecond, nil, "booking")
			})
		}
	}
	wg.Wait()
	late := before.runsAfter(from)
	for _, a := range late {
		logAt(a.at, "wrong: %s runs at the old service %d ms after the confirmation", a.id, a.at.Sub(moved).Milliseconds())
	}
	if len(late)+len(after.runsAfter(from)) == 0 {
		exit(2, "could not run: no request was served")
	}
	judge(len(late) > 0, "%d requests sent to machines in touch later than config_apply_ms after the confirmation have run at the old service", len(late))
}
