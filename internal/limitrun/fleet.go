package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtlimit"
)

// The one-way latency between hosts and the interval of limiter ticks.
const (
	networkLatency = 1500 * time.Microsecond
	tickInterval   = time.Second
)

// fleet simulates hosts, each with a limiter, and the network between them in
// virtual time.
type fleet struct {
	clock
	rng           *rand.Rand
	contracts     *bbtfleet.Configuration
	ids           []bbtfleet.HostID
	hosts         map[bbtfleet.HostID]*host
	partitionSide map[bbtfleet.HostID]int // hosts on different sides cannot communicate
	lossRate      float64
	tally         tally
}

// host is an entry host.
type host struct {
	id       bbtfleet.HostID
	limiter  *bbtlimit.Limiter
	dead     bool
	waiting  []*request
	admitted float64 // tokens
	bytes    int     // sent to other hosts
}

// request is a request of a client account.
type request struct {
	account  bbtfleet.AccountID
	tokens   int
	arrived  time.Time
	decided  bool // admitted or refused
	timerSeq int  // number of the current timer; earlier timers have no effect
}

// newFleet returns a fleet of n hosts that all list and reach each other.
func newFleet(seed uint64, n int, contracts ...bbtfleet.Contract) *fleet {
	f := &fleet{
		rng:           rand.New(rand.NewPCG(seed, uint64(n))),
		contracts:     bbtfleet.NewConfiguration(bbtfleet.Version{}, bbtfleet.WithContracts(contracts...)),
		hosts:         make(map[bbtfleet.HostID]*host),
		partitionSide: make(map[bbtfleet.HostID]int),
	}
	f.now = time.Unix(0, 0)
	for i := range n {
		id := bbtfleet.HostID(fmt.Sprintf("entry-%03d", i))
		f.ids = append(f.ids, id)
		h := &host{id: id, limiter: bbtlimit.New(id)}
		h.limiter.SetContracts(f.contracts)
		f.hosts[id] = h
	}
	f.setViews(f.ids)
	f.tally = newTally(f.now, contracts, func(id bbtfleet.AccountID) bool { return len(f.homeHosts(f.ids[0], id)) > 1 })
	f.after(tickInterval, f.tick)
	return f
}

// setViews passes the listed hosts to each limiter, and which of them its host can
// reach.
func (f *fleet) setViews(listed []bbtfleet.HostID) {
	for _, id := range f.ids {
		var reachable []bbtfleet.HostID
		for _, other := range listed {
			if !f.hosts[other].dead && f.partitionSide[other] == f.partitionSide[id] {
				reachable = append(reachable, other)
			}
		}
		f.hosts[id].limiter.SetHosts(listed, reachable)
	}
}

// tick makes the limiters drop idle accounts.
func (f *fleet) tick() {
	for _, id := range f.ids {
		f.hosts[id].limiter.Tick(f.now)
	}
	f.after(tickInterval, f.tick)
}

// homeHosts returns the account's home hosts in the view of a host.
func (f *fleet) homeHosts(at bbtfleet.HostID, id bbtfleet.AccountID) []bbtfleet.HostID {
	return f.hosts[at].limiter.HomeHosts(id)
}

// submit submits a request to a host.
func (f *fleet) submit(at bbtfleet.HostID, id bbtfleet.AccountID, tokens int) {
	f.tally.offer(f.now, id, tokens)
	h := f.hosts[at]
	if h.dead {
		return
	}
	r := &request{account: id, tokens: tokens, arrived: f.now}
	f.decide(h, r, h.limiter.Admit(f.now, id, tokens))
}

// decide applies a limiter's decision.
func (f *fleet) decide(h *host, r *request, d bbtlimit.Decision) {
	f.send(h, d.Sends())
	switch d.Outcome() {
	case bbtlimit.Admitted:
		f.tally.admit(f.now, r)
		h.admitted += float64(r.tokens)
		r.decided = true
	case bbtlimit.Refused:
		r.decided = true
	case bbtlimit.Waiting:
		h.waiting = append(h.waiting, r)
		r.timerSeq++
		timerSeq := r.timerSeq
		f.after(d.Until().Sub(f.now), func() {
			if r.timerSeq == timerSeq {
				f.resumeAfterTimeout(h, r)
			}
		})
	}
}

// resume submits a waiting request to the limiter again.
func (f *fleet) resume(h *host, r *request) {
	if r.decided || h.dead {
		return
	}
	f.decide(h, r, h.limiter.Resume(f.now, r.account, r.tokens))
}

// resumeAfterTimeout resumes a waiting request whose timer has expired.
func (f *fleet) resumeAfterTimeout(h *host, r *request) {
	h.waiting = slices.DeleteFunc(h.waiting, func(w *request) bool { return w == r })
	f.resume(h, r)
}

// send sends messages over the network, which loses some.
func (f *fleet) send(from *host, sends []bbtlimit.Send) {
	for _, s := range sends {
		data, err := s.Message.Encode()
		if err != nil {
			panic(err)
		}
		from.bytes += len(data)
		f.tally.bytes += len(data)
		f.tally.messages++
		if f.rng.Float64() < f.lossRate {
			continue
		}
		f.after(networkLatency, func() { f.deliver(from.id, s.To, data) })
	}
}

// deliver delivers a message to a host unless the host is dead or partitioned from
// the sender.
func (f *fleet) deliver(from, to bbtfleet.HostID, data []byte) {
	h := f.hosts[to]
	if h.dead || f.partitionSide[from] != f.partitionSide[to] {
		return
	}
	m, err := bbtlimit.Decode(data)
	if err != nil {
		panic(err)
	}
	sends, accounts := h.limiter.Receive(f.now, from, m)
	f.send(h, sends)
	for _, id := range accounts {
		f.resumeAll(h, id)
	}
}

// resumeAll resumes an account's waiting requests in order of arrival.
func (f *fleet) resumeAll(h *host, id bbtfleet.AccountID) {
	waiting := h.waiting
	h.waiting = nil
	for _, r := range waiting {
		switch {
		case r.decided:
		case r.account == id:
			f.resume(h, r)
		default:
			h.waiting = append(h.waiting, r)
		}
	}
}
