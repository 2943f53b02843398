package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"github.com/cespare/xxhash/v2"
)

// account is the client account of all keys.
const account bbtfleet.AccountID = "account"

// process is the current process of a host.
type process struct {
	id      bbtfleet.HostID
	home    *bbthome.Registry
	started time.Time
	lag     time.Duration // delay of its reads of the list
	alive   bool
	paused  bool
	side    int // processes on different sides cannot reach each other
}

// up reports whether the process runs and is not paused.
func (p *process) up() bool { return p.alive && !p.paused }

// published is a published revision of the host list.
type published struct {
	at   time.Time
	view bbthome.View
}

// fleet simulates the hosts, the host list and a stream of first attempts.
type fleet struct {
	rng            *rand.Rand
	now            time.Time
	hosts          []*process
	byID           map[bbtfleet.HostID]*process
	revisions      []published
	listed         map[bbtfleet.HostID]bool
	listUnreadable bool // reads of the host list fail
}

// newFleet returns a fleet that has run for two days, so that every home has
// settled (see bbthome.Registry.SettleTime).
func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		rng:    rand.New(rand.NewPCG(seed, uint64(n))),
		now:    time.Unix(0, 0),
		byID:   make(map[bbtfleet.HostID]*process),
		listed: make(map[bbtfleet.HostID]bool),
	}
	for range n {
		f.join()
	}
	f.revisions = nil
	f.publish()
	for range 2 {
		f.now = f.now.Add(24 * time.Hour)
		f.readAll()
	}
	return f
}

// join adds a host and publishes a list with it.
func (f *fleet) join() *process {
	id := bbtfleet.HostID(fmt.Sprintf("host-%03d", len(f.hosts)))
	p := &process{id: id, lag: time.Duration(f.rng.Int64N(int64(bbthome.DefaultMaxLag / 2)))}
	f.hosts = append(f.hosts, p)
	f.byID[id] = p
	f.start(p)
	f.listed[id] = true
	f.publish()
	return p
}

// start starts a new process of a host.
func (f *fleet) start(p *process) {
	p.alive = true
	p.started = f.now
	p.home = bbthome.New(p.id, topHost)
	if len(f.revisions) > 0 {
		f.readList(p)
	}
}

// publish publishes the listed hosts as the next revision of the host list.
func (f *fleet) publish() {
	var hosts []bbtfleet.Host
	for _, p := range f.hosts {
		if f.listed[p.id] {
			hosts = append(hosts, bbtfleet.NewHost(p.id, "edin-a"))
		}
	}
	revision := bbtfleet.Revision(1)
	if n := len(f.revisions); n > 0 {
		revision = f.revisions[n-1].view.Revision() + 1
	}
	f.revisions = append(f.revisions, published{at: f.now, view: bbthome.NewView(bbtfleet.NewHostList(revision, hosts))})
}

// advanceSecond advances the time by a second.
func (f *fleet) advanceSecond() {
	f.now = f.now.Add(time.Second)
	f.readAll()
}

// readAll makes each running process read the list.
func (f *fleet) readAll() {
	if f.listUnreadable {
		return
	}
	for _, p := range f.hosts {
		if p.up() {
			f.readList(p)
		}
	}
}

// readList makes a process read the revisions published at least its lag ago.
func (f *fleet) readList(p *process) {
	for _, l := range f.revisions {
		if l.view.Revision() >= p.home.Revision() && !l.at.After(f.now.Add(-p.lag)) {
			p.home.Confirm(f.now, f.now, l.view)
		}
	}
}

// newAttempt returns a new key, the random host that receives a request with it, and
// the key's home, which is nil if the receiving host cannot reach it.
func (f *fleet) newAttempt() (key bbthome.Key, entry, home *process) {
	live := slices.DeleteFunc(slices.Clone(f.hosts), func(p *process) bool { return !p.up() })
	entry = live[f.rng.IntN(len(live))]
	key = bbthome.NewKey(account, digest(f.rng.Uint64()))
	p := f.byID[entry.home.HomeOf(key)]
	if p == nil || !f.reachable(entry, p) {
		return key, entry, nil
	}
	return key, entry, p
}

// reachable reports whether two processes can exchange messages.
func (f *fleet) reachable(a, b *process) bool { return a.up() && b.up() && a.side == b.side }

// score returns the rendezvous score of a host for a key.
func score(h bbtfleet.HostID, key uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(h))
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], key)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// topHost returns the host with the highest score.
func topHost(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID {
	top, _ := topTwo(hosts, key)
	return top
}

// topTwo returns the hosts with the highest and the second highest score.
func topTwo(hosts []bbtfleet.HostID, key uint64) (top, second bbtfleet.HostID) {
	var topScore, secondScore uint64
	for _, h := range hosts {
		switch s := score(h, key); {
		case s > topScore || top == "":
			second, secondScore = top, topScore
			top, topScore = h, s
		case s > secondScore || second == "":
			second, secondScore = h, s
		}
	}
	return top, second
}
