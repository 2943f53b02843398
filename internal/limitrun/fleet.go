package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtlimit"
)

// The network between hosts.
const (
	oneWay   = 1500 * time.Microsecond
	tickTime = time.Second
)

// fleet is a number of hosts, each with a limiter, joined by a network in
// virtual time.
type fleet struct {
	clock
	rng       *rand.Rand
	contracts *bbtfleet.Configuration
	ids       []bbtfleet.HostID
	hosts     map[bbtfleet.HostID]*host
	side      map[bbtfleet.HostID]int // hosts of different sides cannot talk
	loss      float64
	tally     tally
}

// host is one entry host.
type host struct {
	id       bbtfleet.HostID
	limiter  *bbtlimit.Limiter
	dead     bool
	waiting  []*request
	admitted float64 // tokens
	bytes    int     // sent
}

// request is one request of a client account.
type request struct {
	account bbtfleet.AccountID
	tokens  int
	arrived time.Time
	decided bool
	timer   int // the timer that counts; earlier ones are void
}

// newFleet returns n hosts that all know one another.
func newFleet(seed uint64, n int, contracts ...bbtfleet.Contract) *fleet {
	f := &fleet{
		rng:       rand.New(rand.NewPCG(seed, uint64(n))),
		contracts: bbtfleet.NewConfiguration(bbtfleet.Version{}, bbtfleet.WithContracts(contracts...)),
		hosts:     make(map[bbtfleet.HostID]*host),
		side:      make(map[bbtfleet.HostID]int),
	}
	f.now = time.Unix(0, 0)
	for i := range n {
		id := bbtfleet.HostID(fmt.Sprintf("entry-%03d", i))
		f.ids = append(f.ids, id)
		h := &host{id: id, limiter: bbtlimit.New(id)}
		h.limiter.SetContracts(f.contracts)
		f.hosts[id] = h
	}
	f.see(f.ids)
	f.tally = newTally(f.now, contracts, func(id bbtfleet.AccountID) bool { return len(f.homes(f.ids[0], id)) > 1 })
	f.after(tickTime, f.tick)
	return f
}

// see gives each live host its view: the listed hosts, and those of them that
// it can reach.
func (f *fleet) see(listed []bbtfleet.HostID) {
	for _, id := range f.ids {
		var reachable []bbtfleet.HostID
		for _, other := range listed {
			if !f.hosts[other].dead && f.side[other] == f.side[id] {
				reachable = append(reachable, other)
			}
		}
		f.hosts[id].limiter.SetHosts(listed, reachable)
	}
}

// tick lets the limiters forget idle accounts.
func (f *fleet) tick() {
	for _, id := range f.ids {
		f.hosts[id].limiter.Tick(f.now)
	}
	f.after(tickTime, f.tick)
}

// homes returns the account's homes as the host sees them.
func (f *fleet) homes(at bbtfleet.HostID, id bbtfleet.AccountID) []bbtfleet.HostID {
	return f.hosts[at].limiter.HomeHosts(id)
}

// submit has a request arrive at a host.
func (f *fleet) submit(at bbtfleet.HostID, id bbtfleet.AccountID, tokens int) {
	f.tally.offer(f.now, id, tokens)
	h := f.hosts[at]
	if h.dead {
		return
	}
	r := &request{account: id, tokens: tokens, arrived: f.now}
	f.decide(h, r, h.limiter.Admit(f.now, id, tokens))
}

// decide acts on a limiter's decision.
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
		r.timer++
		timer := r.timer
		f.after(d.Until().Sub(f.now), func() {
			if r.timer == timer {
				f.resumeOne(h, r)
			}
		})
	}
}

// resume decides a waiting request again.
func (f *fleet) resume(h *host, r *request) {
	if r.decided || h.dead {
		return
	}
	f.decide(h, r, h.limiter.Resume(f.now, r.account, r.tokens))
}

// resumeOne takes a request whose timer has ended off the waiting ones and
// decides it again.
func (f *fleet) resumeOne(h *host, r *request) {
	h.waiting = slices.DeleteFunc(h.waiting, func(w *request) bool { return w == r })
	f.resume(h, r)
}

// send puts messages on the network.
func (f *fleet) send(from *host, sends []bbtlimit.Send) {
	for _, s := range sends {
		data, err := s.Message.Encode()
		if err != nil {
			panic(err)
		}
		from.bytes += len(data)
		f.tally.bytes += len(data)
		f.tally.messages++
		if f.rng.Float64() < f.loss {
			continue
		}
		f.after(oneWay, func() { f.deliver(from.id, s.To, data) })
	}
}

// deliver hands a message to a host unless it is dead or out of reach.
func (f *fleet) deliver(from, to bbtfleet.HostID, data []byte) {
	h := f.hosts[to]
	if h.dead || f.side[from] != f.side[to] {
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

// resumeAll decides an account's waiting requests again, in order of arrival.
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
