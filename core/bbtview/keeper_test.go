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

// begin is the start time of the hosts.
var begin = time.Unix(100, 0)

var errBadPart = errors.New("part is bad")

// publication is a manifest and its parts. The manifest has one line with the
// revision, then one line for each part.
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

// parse accepts all parts except those with the content "bad".
func parse(m bbtview.Manifest, parts [][]byte) (*bbtfleet.Configuration, error) {
	for _, p := range parts {
		if string(p) == "bad" {
			return nil, errBadPart
		}
	}
	return bbtfleet.NewConfiguration(m.Version()), nil
}

// newView returns a View that has started.
func newView(id bbtfleet.HostID) *bbtview.View {
	view := bbtview.New(id, "edin-a", rand.New(rand.NewPCG(1, 2)), bbtview.WithParsers(parseManifest, parse))
	view.Start(begin)
	return view
}

// hostList returns a host list of n hosts in one zone.
func hostList(r bbtfleet.Revision, n int) bbtfleet.HostList {
	var hosts []bbtfleet.Host
	for i := range n {
		hosts = append(hosts, bbtfleet.NewHost(bbtfleet.HostID(fmt.Sprintf("h%d", i)), "edin-a"))
	}
	return bbtfleet.NewHostList(r, hosts)
}

// applyPublication passes the publication to the View as read from the platform.
// Each part is passed when the View requests a read of it.
func applyPublication(view *bbtview.View, now time.Time, p publication) []bbtview.Action {
	all := view.ManifestRead(now, now, bbtfleet.NewValue(1, p.manifest), false)
	for pending := all; len(pending) > 0; {
		var next []bbtview.Action
		for _, a := range pending {
			if r, ok := a.(bbtview.ReadPart); ok {
				next = append(next, view.PartRead(now, r.Key, bbtfleet.NewValue(1, p.parts[r.Key]))...)
			}
		}
		all = append(all, next...)
		pending = next
	}
	return all
}

// exchangeQuery passes the peer's digest to the querier, the resulting query to
// the peer, and the reply back. It returns the querier's actions on the reply.
func exchangeQuery(now time.Time, querier, peer *bbtview.View) []bbtview.Action {
	var out []bbtview.Action
	for _, a := range querier.ReceiveDigest(now, time.Time{}, "peer", peer.Digest(now)) {
		q, ok := a.(bbtview.SendQuery)
		if !ok {
			continue
		}
		for _, b := range peer.ReceiveQuery(now, "asker", q.Query) {
			if r, ok := b.(bbtview.SendReply); ok {
				out = append(out, querier.ReceiveReply(now, now, "peer", r.Reply)...)
			}
		}
	}
	return out
}

// hasAction reports whether an action of type A is among the actions.
func hasAction[A bbtview.Action](actions []bbtview.Action) bool {
	return slices.ContainsFunc(actions, func(a bbtview.Action) bool {
		_, ok := a.(A)
		return ok
	})
}

func TestViewNeverRevertsToOlderVersion(t *testing.T) {
	newer, older := publish(7, "a", "b"), publish(6, "a")
	conflicting := publish(7, "c")
	if conflicting.version().Newer(newer.version()) {
		newer, conflicting = conflicting, newer
	}
	view := newView("h0")
	view.HostListRead(begin, hostList(5, 3))
	applyPublication(view, begin, newer)
	stale := newView("h1")
	stale.HostListRead(begin, hostList(4, 2))
	applyPublication(stale, begin, older)

	applyPublication(view, begin, older)
	applyPublication(view, begin, conflicting)
	view.HostListRead(begin, hostList(4, 2))
	exchangeQuery(begin, view, stale)
	view.ReceiveReply(begin, begin, "h1", bbtview.Reply{Manifest: older.manifest})
	if got, want := view.Version(), newer.version(); got != want {
		t.Errorf("got version %v, want %v", got, want)
	}
	if got := view.Hosts().Revision(); got != 5 {
		t.Errorf("got host list %d, want 5", got)
	}
	if c := view.Counters(); c.Stale() != 2 || c.Conflicts() != 1 {
		t.Errorf("got %d stale and %d conflicting values, want 2 and 1", c.Stale(), c.Conflicts())
	}
	if got := view.ConfirmedAt(); !got.Equal(begin) {
		t.Errorf("got confirmation at %v, want %v", got, begin)
	}
}

func TestSameRevisionConvergesOnOneVersion(t *testing.T) {
	a, b := newView("h0"), newView("h1")
	first, second := publish(7, "x"), publish(7, "y")
	applyPublication(a, begin, first)
	applyPublication(b, begin, second)
	exchangeQuery(begin, a, b)
	exchangeQuery(begin, b, a)
	if a.Version() != b.Version() {
		t.Errorf("got versions %v and %v, want the same", a.Version(), b.Version())
	}
}

func TestBadConfigurationIsRefusedByAll(t *testing.T) {
	good, bad := publish(7, "a"), publish(8, "a", "bad")
	view, peer := newView("h0"), newView("h1")
	applyPublication(view, begin, good)
	applyPublication(peer, begin, good)
	actions := applyPublication(view, begin, bad)
	if !hasAction[bbtview.ConfigurationRefused](actions) {
		t.Fatalf("got actions %v, want a ConfigurationRefused", actions)
	}
	if again := applyPublication(view, begin, bad); hasAction[bbtview.ConfigurationRefused](again) {
		t.Error("got a second ConfigurationRefused for the same version")
	}
	if actions := exchangeQuery(begin, peer, view); !hasAction[bbtview.ConfigurationRefused](actions) {
		t.Errorf("peer: got actions %v, want a ConfigurationRefused", actions)
	}
	for _, view := range []*bbtview.View{view, peer} {
		v, err := view.Refused()
		if v != bad.version() || !errors.Is(err, errBadPart) || view.Version() != good.version() {
			t.Errorf("got version %v active, %v refused with error %v, want the good one active and the bad one refused", view.Version(), v, err)
		}
	}
	fixed := publish(9, "a")
	applyPublication(view, begin, fixed)
	if _, err := view.Refused(); err != nil || view.Version() != fixed.version() {
		t.Errorf("got version %v active, refusal %v, want the fixed version and no refusal", view.Version(), err)
	}
}

func TestPartsOfDifferentRevisionsAreNotMixed(t *testing.T) {
	view := newView("h0")
	old, next := publish(7, "a", "b"), publish(8, "a2", "b2")
	applyPublication(view, begin, old)
	mixed := publication{manifest: next.manifest, parts: map[string][]byte{"p0": next.parts["p0"], "p1": old.parts["p1"]}}
	if actions := applyPublication(view, begin, mixed); hasAction[bbtview.ConfigurationApplied](actions) || view.Version() != old.version() {
		t.Fatalf("got version %v active, want %v while a part is missing", view.Version(), old.version())
	}
	if got := view.Counters().Mismatches(); got == 0 {
		t.Error("got no mismatch counted")
	}
	now := begin
	for range 100 {
		now = now.Add(bbtview.TickInterval)
		for _, a := range view.Tick(now) {
			if r, ok := a.(bbtview.ReadPart); ok {
				view.PartRead(now, r.Key, bbtfleet.NewValue(2, next.parts[r.Key]))
			}
		}
	}
	if got, want := view.Version(), next.version(); got != want {
		t.Errorf("got version %v, want %v once the part has been published", got, want)
	}
}

func TestReplyContainsOnlyMissingParts(t *testing.T) {
	a, b := newView("h0"), newView("h1")
	applyPublication(a, begin, publish(7, "x", "y", "z"))
	applyPublication(b, begin, publish(8, "x", "new", "z"))
	for _, act := range a.ReceiveDigest(begin, time.Time{}, "h1", b.Digest(begin)) {
		for _, answer := range b.ReceiveQuery(begin, "h0", act.(bbtview.SendQuery).Query) {
			if r, ok := answer.(bbtview.SendReply); ok && len(r.Reply.Parts) != 1 {
				t.Errorf("got %d parts, want 1", len(r.Reply.Parts))
			}
		}
	}
}

func TestQueriesPeersBeforeServing(t *testing.T) {
	stale, current := publish(6, "a"), publish(7, "a")
	view, peer := newView("h0"), newView("h1")
	peer.HostListRead(begin, hostList(1, 4))
	applyPublication(peer, begin, current)
	view.HostListRead(begin, hostList(1, 4))
	if actions := applyPublication(view, begin, stale); hasAction[bbtview.Serve](actions) {
		t.Fatal("got Serve before a peer has answered")
	}
	var served bool
	for i, id := range []bbtfleet.HostID{"h1", "h2", "h3"} {
		served = served || hasAction[bbtview.Serve](view.ReceiveReply(begin, begin, id, bbtview.Reply{Digest: peer.Digest(begin)}))
		if i < 2 && served {
			t.Fatalf("got Serve after %d answers, want 3 answers first", i+1)
		}
	}
	if served {
		t.Fatal("got Serve although peers have a newer configuration")
	}
	view.Tick(begin.Add(2 * time.Second))
	if actions := exchangeQuery(begin.Add(2*time.Second), view, peer); !hasAction[bbtview.Serve](actions) || view.Version() != current.version() {
		t.Errorf("got actions %v and version %v, want Serve with the current configuration", actions, view.Version())
	}
}

func TestViewIsNotFreshAfterPause(t *testing.T) {
	view, peer := newView("h0"), newView("h1")
	p := publish(7, "a")
	view.HostListRead(begin, hostList(1, 2))
	applyPublication(view, begin, p)
	applyPublication(peer, begin, p)
	view.ReceiveReply(begin, begin, "h1", bbtview.Reply{Digest: peer.Digest(begin)})
	now := begin.Add(time.Second)
	if !view.Fresh(now) {
		t.Fatal("view is not fresh after an answer")
	}
	sentAt := now
	now = now.Add(3 * time.Second)
	view.Paused(now)
	view.ReceiveDigest(now, sentAt, "h1", peer.Digest(now))
	view.ReceiveDigest(now, time.Time{}, "h1", peer.Digest(now))
	if view.Fresh(now) {
		t.Error("view is fresh after an answer to a query sent before the pause")
	}
	view.ReceiveDigest(now, now, "h1", peer.Digest(now))
	if !view.Fresh(now) {
		t.Error("view is not fresh after an answer to a query sent after the pause")
	}
	if now = now.Add(bbtview.FreshnessWindow); view.Fresh(now) {
		t.Errorf("view is fresh for longer than %v", bbtview.FreshnessWindow)
	}
}

func TestPeersConfirmationIsDatedByItsAge(t *testing.T) {
	view := newView("h0")
	applyPublication(view, begin, publish(7, "a"))
	now := begin.Add(20 * time.Second)
	d := view.Digest(now)
	d.Age = 3000
	view.ReceiveDigest(now, now.Add(-time.Second), "h1", d)
	if got, want := view.ConfirmedAt(), now.Add(-4*time.Second); !got.Equal(want) {
		t.Errorf("got confirmation at %v, want %v", got, want)
	}
}

func TestSeedsAreQueriedWhilePlatformIsDown(t *testing.T) {
	view := bbtview.New("h0", "edin-a", rand.New(rand.NewPCG(1, 2)), bbtview.WithParsers(parseManifest, parse), bbtview.WithSeeds("h1"))
	peer := newView("h1")
	peer.HostListRead(begin, hostList(3, 2))
	applyPublication(peer, begin, publish(7, "a"))
	if actions := view.Start(begin); !hasAction[bbtview.SendQuery](actions) {
		t.Fatalf("got actions %v, want a query to the seed host", actions)
	}
	view.HostListReadFailed(begin)
	if actions := exchangeQuery(begin, view, peer); !hasAction[bbtview.Serve](actions) || view.Hosts().Revision() != 3 {
		t.Errorf("got actions %v and host list %d, want Serve with the state of the peer", actions, view.Hosts().Revision())
	}
}
