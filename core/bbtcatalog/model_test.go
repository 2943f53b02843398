package bbtcatalog_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
	"pgregory.net/rapid"
)

// modelStore is a platform that returns with older copies of its state.
type modelStore struct {
	era, revision uint64
	items         map[string]bbtcatalog.Change // published, by key
	log           []bbtcatalog.Change          // of the era
	past          []modelStore                 // earlier states, the items only
}

// write publishes a change under a key and gives it the next revision.
func (s *modelStore) write(key string, c bbtcatalog.Change) {
	s.past = append(s.past, modelStore{revision: s.revision, items: maps.Clone(s.items)})
	s.revision++
	c.Revision = s.revision
	s.log = append(s.log, c)
	if s.items[key] = c; c.Removed {
		delete(s.items, key)
	}
}

// restore returns to an earlier state.
func (s *modelStore) restore(earlier modelStore) {
	s.era++
	s.revision, s.items, s.log = max(1, earlier.revision), maps.Clone(earlier.items), nil
}

// load returns the full state.
func (s *modelStore) load() bbtcatalog.Update {
	return bbtcatalog.Update{Era: s.era, Revision: s.revision, Full: true, Changes: slices.Collect(maps.Values(s.items))}
}

// read updates a host as its reader does: by changes within an era, else by a load.
func (s *modelStore) read(now time.Time, cat *bbtcatalog.Catalog) {
	at := cat.Position()
	if at.Era != s.era || at.Revision == 0 || at.Revision > s.revision {
		cat.Apply(now, s.load())
		return
	}
	u := bbtcatalog.Update{Era: s.era, Revision: s.revision}
	for _, c := range s.log {
		if c.Revision > at.Revision {
			u.Changes = append(u.Changes, c)
		}
	}
	cat.Apply(now, u)
}

// restoredFleet is a platform, what its operators and servers want published, and hosts.
type restoredFleet struct {
	now      time.Time
	store    modelStore
	wanted   map[string]bbtcatalog.Change
	version  int64
	started  int64 // start time of the last process
	hosts    []*bbtcatalog.Catalog
	versions []int64          // in force on each host when it was last looked at
	draining []map[int64]bool // processes that each host has seen drain, by start time
}

// publish writes a change as an operator or a server does, and remembers it.
func (f *restoredFleet) publish(key string, c bbtcatalog.Change) {
	if f.wanted[key] = c; c.Removed {
		delete(f.wanted, key)
	}
	f.store.write(key, c)
}

// rewrite publishes again what the store lacks, and removes what it should not hold.
func (f *restoredFleet) rewrite() {
	for _, key := range slices.Sorted(maps.Keys(f.wanted)) {
		c := f.wanted[key]
		if got, ok := f.store.items[key]; !ok || describe(got) != describe(c) {
			f.store.write(key, c)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(f.store.items)) {
		if _, ok := f.wanted[key]; !ok {
			c := f.store.items[key]
			c.Removed = true
			f.store.write(key, c)
		}
	}
}

// describe returns the content of a change.
func describe(c bbtcatalog.Change) string {
	switch {
	case c.Config != nil:
		return fmt.Sprint(c.Config.Version)
	case c.Endpoint != nil:
		return fmt.Sprint(*c.Endpoint)
	default:
		return *c.Zone
	}
}

func (f *restoredFleet) configure(t *rapid.T) {
	f.version += rapid.Int64Range(1, 3).Draw(t, "step")
	f.publish("config", config(0, f.version))
}

// changeEndpoint starts, drains or removes a process.
func (f *restoredFleet) changeEndpoint(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint")
	c, running := f.wanted[id]
	switch {
	case !running:
		f.started++
		f.publish(id, bbtcatalog.Change{Endpoint: &bbtcatalog.Endpoint{ID: id, StartTimeMS: f.started, Zone: "z"}})
	case !c.Endpoint.Draining && rapid.Bool().Draw(t, "drains"):
		ep := *c.Endpoint
		ep.Draining = true
		f.publish(id, bbtcatalog.Change{Endpoint: &ep})
	default:
		f.publish(id, bbtcatalog.Change{Endpoint: c.Endpoint, Removed: true})
	}
}

func (f *restoredFleet) changeZone(*rapid.T) {
	zone := "z"
	_, out := f.wanted["zone"]
	f.publish("zone", bbtcatalog.Change{Zone: &zone, Removed: out})
}

func (f *restoredFleet) restore(t *rapid.T) {
	if len(f.store.past) == 0 {
		t.Skip("no earlier state")
	}
	f.store.restore(rapid.SampledFrom(f.store.past).Draw(t, "earlier"))
	if rapid.Bool().Draw(t, "rewritten at once") {
		f.rewrite()
	}
}

func (f *restoredFleet) pass(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (f *restoredFleet) read(t *rapid.T) {
	f.store.read(f.now, f.drawHost(t, "host"))
}

// exchange lets a host ask another one.
func (f *restoredFleet) exchange(t *rapid.T) {
	f.ask(f.drawHost(t, "host"), f.drawHost(t, "peer"))
}

func (f *restoredFleet) drawHost(t *rapid.T, label string) *bbtcatalog.Catalog {
	return f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, label)]
}

func (f *restoredFleet) ask(host, peer *bbtcatalog.Catalog) {
	host.Apply(f.now, peer.UpdateSince(host.Position(), host.Index().Version()))
}

// check fails if a version went back, or if a host uses a process that it has seen drain.
func (f *restoredFleet) check(t *rapid.T) {
	for i, cat := range f.hosts {
		if got := cat.Index().Version(); got < f.versions[i] {
			t.Fatalf("host %d: got version %d after %d", i, got, f.versions[i])
		}
		f.versions[i] = cat.Index().Version()
		for _, l := range cat.Endpoints(f.now) {
			if f.draining[i][l.Endpoint.StartTimeMS] && !l.Endpoint.Draining {
				t.Fatalf("host %d: got %+v in use after it was seen to drain", i, l.Endpoint)
			}
			f.draining[i][l.Endpoint.StartTimeMS] = l.Endpoint.Draining
		}
	}
}

// Guards against hosts that go back to an older configuration, or stay apart, after any
// sequence of changes, older copies of the store, reads and exchanges.
func TestHostsAgreeAfterAnySequenceOfOlderCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &restoredFleet{now: start, wanted: make(map[string]bbtcatalog.Change), versions: make([]int64, 3)}
		f.store = modelStore{items: make(map[string]bbtcatalog.Change)}
		for range 3 {
			f.draining = append(f.draining, make(map[int64]bool))
			f.hosts = append(f.hosts, bbtcatalog.NewCatalog(bbtcatalog.Bounds{Drain: 2 * time.Second, Heartbeat: time.Second}))
		}
		f.configure(t)
		t.Repeat(map[string]func(*rapid.T){
			"configure": f.configure, "endpoint": f.changeEndpoint, "zone": f.changeZone, "restore": f.restore,
			"rewrite": func(*rapid.T) { f.rewrite() }, "pass": f.pass, "read": f.read, "exchange": f.exchange, "": f.check,
		})
		f.rewrite()
		reader := rapid.IntRange(0, len(f.hosts)).Draw(t, "only reader") // all read if none is the only one
		for i, cat := range f.hosts {
			if reader == len(f.hosts) || i == reader {
				f.store.read(f.now, cat)
			}
		}
		for _, host := range f.hosts {
			for _, peer := range f.hosts {
				f.ask(host, peer)
			}
		}
		f.now = f.now.Add(time.Minute)
		want := f.summary(f.wanted["zone"].Zone != nil)
		for i, cat := range f.hosts {
			if got := f.describeHost(cat); got != want {
				t.Errorf("host %d: got %s, want %s", i, got, want)
			}
		}
	})
}

// summary describes what operators and servers want published.
func (f *restoredFleet) summary(zoneOut bool) string {
	out := fmt.Sprintf("version %d zone out %t", f.version, zoneOut)
	for _, id := range []string{"a", "b", "c"} {
		if c, ok := f.wanted[id]; ok {
			out += " " + describe(c)
		}
	}
	return out
}

// describeHost describes what a host uses, in the same form.
func (f *restoredFleet) describeHost(cat *bbtcatalog.Catalog) string {
	out := fmt.Sprintf("version %d zone out %t", cat.Index().Version(), cat.ZoneOutOfService(f.now, "z"))
	for _, l := range cat.Endpoints(f.now) {
		out += " " + fmt.Sprint(l.Endpoint)
	}
	return out
}
