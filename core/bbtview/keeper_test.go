package bbtview_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
	"github.com/cockroachdb/errors"
)

// begin is the time at which the hosts of the tests start.
var begin = time.Unix(100, 0)

var errBad = errors.New("part is bad")

// publication is a manifest and its parts in the form of the tests: a line for
// the revision, then a line for each part.
type publication struct {
	manifest []byte
	parts    map[string][]byte
}

// publish returns a publication with the given contents under the keys p0, p1
// and so on.
func publish(revision int, contents ...string) publication {
	p := publication{parts: make(map[string][]byte)}
	text := strconv.Itoa(revision)
	for i, c := range contents {
		key := fmt.Sprintf("p%d", i)
		p.parts[key] = []byte(c)
		text += fmt.Sprintf("\n%s %x %d", key, bbtview.Hash([]byte(c)), len(c))
	}
	p.manifest = []byte(text)
	return p
}

// version returns the publication's version.
func (p publication) version() bbtfleet.Version {
	m, err := parseManifest(p.manifest)
	if err != nil {
		panic(err)
	}
	return bbtfleet.NewVersion(m.Version().Revision(), bbtview.Hash(p.manifest))
}

// parseManifest reads the manifest of a publication.
func parseManifest(data []byte) (bbtview.Manifest, error) {
	lines := strings.Split(string(data), "\n")
	revision, err := strconv.Atoi(lines[0])
	if err != nil {
		return bbtview.Manifest{}, err
	}
	var parts []bbtview.Part
	for _, line := range lines[1:] {
		var key string
		var digest uint64
		var size int
		if _, err := fmt.Sscanf(line, "%s %x %d", &key, &digest, &size); err != nil {
			return bbtview.Manifest{}, err
		}
		parts = append(parts, bbtview.NewPart(key, digest, size))
	}
	return bbtview.NewManifest(bbtfleet.Revision(revision), parts...), nil
}

// parse accepts all parts but those that say bad.
func parse(m bbtview.Manifest, parts [][]byte) (*bbtfleet.Configuration, error) {
	for _, p := range parts {
		if string(p) == "bad" {
			return nil, errBad
		}
	}
	return bbtfleet.NewConfiguration(m.Version()), nil
}

// newKeeper returns a Keeper that has started.
func newKeeper(id bbtfleet.HostID) *bbtview.View {
	k := bbtview.New(id, "edin-a", rand.New(rand.NewPCG(1, 2)), bbtview.WithParsers(parseManifest, parse))
	k.Start(begin)
	return k
}

// list returns a host list of n hosts in one zone.
func list(r bbtfleet.Revision, n int) bbtfleet.HostList {
	var hosts []bbtfleet.Host
	for i := range n {
		hosts = append(hosts, bbtfleet.NewHost(bbtfleet.HostID(fmt.Sprintf("h%d", i)), "edin-a"))
	}
	return bbtfleet.NewHostList(r, hosts)
}

// take lets the Keeper read the publication from the platform, whose parts are
// read when they are asked for.
func take(k *bbtview.View, now time.Time, p publication) []bbtview.Action {
	all := k.ManifestRead(now, now, bbtfleet.NewValue(1, p.manifest), false)
	for todo := all; len(todo) > 0; {
		var next []bbtview.Action
		for _, a := range todo {
			if r, ok := a.(bbtview.ReadPart); ok {
				next = append(next, k.PartRead(now, r.Key, bbtfleet.NewValue(1, p.parts[r.Key]))...)
			}
		}
		all = append(all, next...)
		todo = next
	}
	return all
}

// ask passes a question of one Keeper to another and the answer back.
func ask(now time.Time, from, to *bbtview.View) []bbtview.Action {
	var out []bbtview.Action
	for _, a := range from.ReceiveDigest(now, time.Time{}, "peer", to.Digest(now)) {
		q, ok := a.(bbtview.SendQuery)
		if !ok {
			continue
		}
		for _, b := range to.ReceiveQuery(now, "asker", q.Query) {
			if t, ok := b.(bbtview.SendReply); ok {
				out = append(out, from.ReceiveReply(now, now, "peer", t.Reply)...)
			}
		}
	}
	return out
}

// has reports whether an action of the type is among the actions.
func has[A bbtview.Action](actions []bbtview.Action) bool {
	return slices.ContainsFunc(actions, func(a bbtview.Action) bool {
		_, ok := a.(A)
		return ok
	})
}

func TestViewNeverGoesBack(t *testing.T) {
	newer, older := publish(7, "a", "b"), publish(6, "a")
	twin := publish(7, "c")
	if twin.version().Newer(newer.version()) {
		newer, twin = twin, newer
	}
	k := newKeeper("h0")
	k.HostListRead(begin, list(5, 3))
	take(k, begin, newer)
	stale := newKeeper("h1")
	stale.HostListRead(begin, list(4, 2))
	take(stale, begin, older)

	take(k, begin, older)
	take(k, begin, twin)
	k.HostListRead(begin, list(4, 2))
	ask(begin, k, stale)
	k.ReceiveReply(begin, begin, "h1", bbtview.Reply{Manifest: older.manifest})
	if got, want := k.Version(), newer.version(); got != want {
		t.Errorf("got version %v, want %v", got, want)
	}
	if got := k.Hosts().Revision(); got != 5 {
		t.Errorf("got host list %d, want 5", got)
	}
	if c := k.Counters(); c.Stale() != 2 || c.Conflicts() != 1 {
		t.Errorf("got %d stale and %d conflicting values, want 2 and 1", c.Stale(), c.Conflicts())
	}
	if got := k.ConfirmedAt(); !got.Equal(begin) {
		t.Errorf("got confirmation at %v, want %v only", got, begin)
	}
}

func TestSameRevisionSettlesOnOne(t *testing.T) {
	a, b := newKeeper("h0"), newKeeper("h1")
	first, second := publish(7, "x"), publish(7, "y")
	take(a, begin, first)
	take(b, begin, second)
	ask(begin, a, b)
	ask(begin, b, a)
	if a.Version() != b.Version() {
		t.Errorf("got %v and %v, want the same", a.Version(), b.Version())
	}
}

func TestBadConfigurationIsRefusedByAll(t *testing.T) {
	good, bad := publish(7, "a"), publish(8, "a", "bad")
	k, peer := newKeeper("h0"), newKeeper("h1")
	take(k, begin, good)
	take(peer, begin, good)
	actions := take(k, begin, bad)
	if !has[bbtview.ConfigurationRejected](actions) {
		t.Fatalf("got %v, want a Rejected", actions)
	}
	if again := take(k, begin, bad); has[bbtview.ConfigurationRejected](again) {
		t.Error("a version was rejected twice")
	}
	if actions := ask(begin, peer, k); !has[bbtview.ConfigurationRejected](actions) {
		t.Errorf("peer: got %v, want a Rejected", actions)
	}
	for _, k := range []*bbtview.View{k, peer} {
		v, err := k.Refused()
		if v != bad.version() || !errors.Is(err, errBad) || k.Version() != good.version() {
			t.Errorf("got %v in force, %v refused for %v", k.Version(), v, err)
		}
	}
	mended := publish(9, "a")
	take(k, begin, mended)
	if _, err := k.Refused(); err != nil || k.Version() != mended.version() {
		t.Errorf("got %v in force, refusal %v, want the mended one", k.Version(), err)
	}
}

func TestPartsOfAnotherRevisionDoNotMix(t *testing.T) {
	k := newKeeper("h0")
	old, next := publish(7, "a", "b"), publish(8, "a2", "b2")
	take(k, begin, old)
	torn := publication{manifest: next.manifest, parts: map[string][]byte{"p0": next.parts["p0"], "p1": old.parts["p1"]}}
	if actions := take(k, begin, torn); has[bbtview.ConfigurationApplied](actions) || k.Version() != old.version() {
		t.Fatalf("got %v in force, want %v while a part lacks", k.Version(), old.version())
	}
	if got := k.Counters().Mismatches(); got == 0 {
		t.Error("no mismatch was counted")
	}
	now := begin
	for range 100 {
		now = now.Add(bbtview.TickInterval)
		for _, a := range k.Tick(now) {
			if r, ok := a.(bbtview.ReadPart); ok {
				k.PartRead(now, r.Key, bbtfleet.NewValue(2, next.parts[r.Key]))
			}
		}
	}
	if got, want := k.Version(), next.version(); got != want {
		t.Errorf("got %v, want %v once the part is there", got, want)
	}
}

func TestOnlyLackingPartsTravel(t *testing.T) {
	a, b := newKeeper("h0"), newKeeper("h1")
	take(a, begin, publish(7, "x", "y", "z"))
	take(b, begin, publish(8, "x", "new", "z"))
	for _, act := range a.ReceiveDigest(begin, time.Time{}, "h1", b.Digest(begin)) {
		for _, answer := range b.ReceiveQuery(begin, "h0", act.(bbtview.SendQuery).Query) {
			if tr, ok := answer.(bbtview.SendReply); ok && len(tr.Reply.Parts) != 1 {
				t.Errorf("got %d parts, want 1", len(tr.Reply.Parts))
			}
		}
	}
}

func TestAsksPeersBeforeServing(t *testing.T) {
	stale, current := publish(6, "a"), publish(7, "a")
	k, peer := newKeeper("h0"), newKeeper("h1")
	peer.HostListRead(begin, list(1, 4))
	take(peer, begin, current)
	k.HostListRead(begin, list(1, 4))
	if actions := take(k, begin, stale); has[bbtview.Serve](actions) {
		t.Fatal("serves before a peer has answered")
	}
	var served bool
	for i, id := range []bbtfleet.HostID{"h1", "h2", "h3"} {
		served = served || has[bbtview.Serve](k.ReceiveReply(begin, begin, id, bbtview.Reply{Digest: peer.Digest(begin)}))
		if i < 2 && served {
			t.Fatalf("serves after %d answers", i+1)
		}
	}
	if served {
		t.Fatal("serves although peers have a newer configuration")
	}
	k.Tick(begin.Add(2 * time.Second))
	if actions := ask(begin.Add(2*time.Second), k, peer); !has[bbtview.Serve](actions) || k.Version() != current.version() {
		t.Errorf("got %v and %v, want to serve the current configuration", actions, k.Version())
	}
}

func TestPauseNeedsRevalidation(t *testing.T) {
	k, peer := newKeeper("h0"), newKeeper("h1")
	p := publish(7, "a")
	k.HostListRead(begin, list(1, 2))
	take(k, begin, p)
	take(peer, begin, p)
	k.ReceiveReply(begin, begin, "h1", bbtview.Reply{Digest: peer.Digest(begin)})
	now := begin.Add(time.Second)
	if !k.Fresh(now) {
		t.Fatal("not fresh after an answer")
	}
	asked := now
	now = now.Add(3 * time.Second)
	k.Paused(now)
	k.ReceiveDigest(now, asked, "h1", peer.Digest(now))
	k.ReceiveDigest(now, time.Time{}, "h1", peer.Digest(now))
	if k.Fresh(now) {
		t.Error("fresh by an answer to a question from before the pause")
	}
	k.ReceiveDigest(now, now, "h1", peer.Digest(now))
	if !k.Fresh(now) {
		t.Error("not fresh after an answer to a new question")
	}
	if now = now.Add(bbtview.FreshnessWindow); k.Fresh(now) {
		t.Errorf("fresh for longer than %v", bbtview.FreshnessWindow)
	}
}

func TestConfirmationAgesAsItTravels(t *testing.T) {
	k := newKeeper("h0")
	take(k, begin, publish(7, "a"))
	now := begin.Add(20 * time.Second)
	d := k.Digest(now)
	d.Age = 3000
	k.ReceiveDigest(now, now.Add(-time.Second), "h1", d)
	if got, want := k.ConfirmedAt(), now.Add(-4*time.Second); !got.Equal(want) {
		t.Errorf("got confirmation at %v, want %v", got, want)
	}
}

func TestSeedsAreAskedWhileThePlatformIsDown(t *testing.T) {
	k := bbtview.New("h0", "edin-a", rand.New(rand.NewPCG(1, 2)), bbtview.WithParsers(parseManifest, parse), bbtview.WithSeeds("h1"))
	peer := newKeeper("h1")
	peer.HostListRead(begin, list(3, 2))
	take(peer, begin, publish(7, "a"))
	if actions := k.Start(begin); !has[bbtview.SendQuery](actions) {
		t.Fatalf("got %v, want a question to the seed", actions)
	}
	k.HostListReadFailed(begin)
	if actions := ask(begin, k, peer); !has[bbtview.Serve](actions) || k.Hosts().Revision() != 3 {
		t.Errorf("got %v and host list %d, want to serve from the peer alone", actions, k.Hosts().Revision())
	}
}
