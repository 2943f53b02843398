package bbtcatalog_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
)

// copyOf returns the first state of an era.
func copyOf(era, revision uint64, changes ...bbtcatalog.Change) bbtcatalog.Update {
	return bbtcatalog.Update{Era: era, Revision: revision, Full: true, Changes: changes}
}

// later returns the changes of an era up to a revision.
func later(era, revision uint64, changes ...bbtcatalog.Change) bbtcatalog.Update {
	return bbtcatalog.Update{Era: era, Revision: revision, Changes: changes}
}

// Guards against changes of an older copy's successors that are taken for older ones,
// since their revisions are lower than known ones.
func TestLowerRevisionsOfALaterEraAreNews(t *testing.T) {
	var cat bbtcatalog.Catalog
	cat.Apply(start, copyOf(1, 21, config(20, 13), endpoint(5, "a"), endpoint(21, "b")))
	cat.Apply(start, copyOf(2, 19, config(19, 10), endpoint(5, "a"), endpoint(6, "b")))
	cat.Apply(start.Add(time.Minute), later(2, 21, removal(20, "b"), config(21, 16), endpoint(21, "c")))
	if got := ids(&cat, start.Add(2*time.Minute)); got != "ac" || cat.Index().Version() != 16 {
		t.Errorf("got endpoints %q and version %d, want ac and 16", got, cat.Index().Version())
	}
	if got, want := cat.Position(), (bbtcatalog.Position{Era: 2, Revision: 21}); got != want {
		t.Errorf("got position %+v, want %+v", got, want)
	}
}

// Guards against a watch that the platform answers in an era whose first state the host
// does not know, and against peers that are behind.
func TestChangesOfAnotherEraAreIgnored(t *testing.T) {
	var cat bbtcatalog.Catalog
	cat.Apply(start, copyOf(2, 21, config(21, 13), endpoint(5, "a")))
	for _, u := range []bbtcatalog.Update{later(3, 30, endpoint(30, "b")), later(1, 40, endpoint(40, "c")), copyOf(1, 50, endpoint(50, "d"))} {
		cat.Apply(start, u)
		if got := ids(&cat, start); got != "a" || cat.Position() != (bbtcatalog.Position{Era: 2, Revision: 21}) {
			t.Errorf("got endpoints %q at %+v after an update of era %d, want a at era 2, revision 21", got, cat.Position(), u.Era)
		}
	}
}

// Guards against a confirmed configuration that an older copy takes back, on this host or on
// one that read the copy first.
func TestConfigurationOutlivesAnOlderCopy(t *testing.T) {
	var cat, peer bbtcatalog.Catalog
	cat.Apply(start, copyOf(1, 21, config(21, 13)))
	cat.Apply(start, copyOf(2, 21, config(19, 10)))
	if got := cat.Index().Version(); got != 13 {
		t.Errorf("got version %d, want 13", got)
	}
	peer.Apply(start, copyOf(2, 21, config(19, 10)))
	peer.Apply(start, cat.UpdateSince(peer.Position(), peer.Index().Version()))
	if got := peer.Index().Version(); got != 13 {
		t.Errorf("got version %d at a peer of the same position, want 13", got)
	}
	var lagging bbtcatalog.Catalog
	lagging.Apply(start, copyOf(1, 30, config(30, 15)))
	cat.Apply(start, lagging.UpdateSince(cat.Position(), cat.Index().Version()))
	if got := cat.Index().Version(); got != 15 || cat.Position().Era != 2 {
		t.Errorf("got version %d at %+v after a peer of an earlier era, want 15 in era 2", got, cat.Position())
	}
}
