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

// account is the client account of each key.
const account bbtfleet.AccountID = "account"

// process is one host's current process.
type process struct {
	id      bbtfleet.HostID
	home    *bbthome.Home
	started time.Time
	lag     time.Duration // by which its reads of the list lag
	alive   bool
	paused  bool
	side    int // hosts of different sides cannot reach each other
}

// able reports whether the process takes part.
func (p *process) able() bool { return p.alive && !p.paused }

// published is one revision of the host list.
type published struct {
	at   time.Time
	view bbthome.View
}

// fleet is the hosts, their lists and a flow of first attempts.
type fleet struct {
	rng    *rand.Rand
	now    time.Time
	hosts  []*process
	byID   map[bbtfleet.HostID]*process
	lists  []published
	listed map[bbtfleet.HostID]bool
	mute   bool // the host list cannot be read
}

// newFleet returns a fleet that has run for a day.
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
	f.lists = nil
	f.publish()
	for range 2 {
		f.now = f.now.Add(24 * time.Hour)
		f.read()
	}
	return f
}

// join adds a host that the list names at once.
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
	p.home = bbthome.New(p.id, first)
	if len(f.lists) > 0 {
		f.readOne(p)
	}
}

// publish publishes the hosts that are listed.
func (f *fleet) publish() {
	var hosts []bbtfleet.Host
	for _, p := range f.hosts {
		if f.listed[p.id] {
			hosts = append(hosts, bbtfleet.NewHost(p.id, "edin-a"))
		}
	}
	revision := bbtfleet.Revision(1)
	if n := len(f.lists); n > 0 {
		revision = f.lists[n-1].view.Revision() + 1
	}
	f.lists = append(f.lists, published{at: f.now, view: bbthome.NewView(bbtfleet.NewHostList(revision, hosts))})
}

// pass lets a second pass.
func (f *fleet) pass() {
	f.now = f.now.Add(time.Second)
	f.read()
}

// read lets each process read the list, as it does each second.
func (f *fleet) read() {
	if f.mute {
		return
	}
	for _, p := range f.hosts {
		if p.able() {
			f.readOne(p)
		}
	}
}

// readOne lets one process read the lists that its lag has let through.
func (f *fleet) readOne(p *process) {
	for _, l := range f.lists {
		if l.view.Revision() >= p.home.Revision() && !l.at.After(f.now.Add(-p.lag)) {
			p.home.Confirm(f.now, f.now, l.view)
		}
	}
}

// attempt offers a request with a new key to a random host and returns that
// host and the key's home, which is nil if it cannot be reached.
func (f *fleet) attempt() (key bbthome.Key, entry, home *process) {
	live := slices.DeleteFunc(slices.Clone(f.hosts), func(p *process) bool { return !p.able() })
	entry = live[f.rng.IntN(len(live))]
	key = bbthome.NewKey(account, digest(f.rng.Uint64()))
	p := f.byID[entry.home.HomeOf(key)]
	if p == nil || !f.reach(entry, p) {
		return key, entry, nil
	}
	return key, entry, p
}

// reach reports whether two processes can exchange messages.
func (f *fleet) reach(a, b *process) bool { return a.able() && b.able() && a.side == b.side }

// score ranks a host for a key.
func score(h bbtfleet.HostID, key uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(h))
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], key)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// first returns the host with the highest score.
func first(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID {
	top, _ := topTwo(hosts, key)
	return top
}

// topTwo returns the hosts with the highest and the second highest score.
func topTwo(hosts []bbtfleet.HostID, key uint64) (top, second bbtfleet.HostID) {
	var most, next uint64
	for _, h := range hosts {
		switch s := score(h, key); {
		case s > most || top == "":
			second, next = top, most
			top, most = h, s
		case s > next || second == "":
			second, next = h, s
		}
	}
	return top, second
}
