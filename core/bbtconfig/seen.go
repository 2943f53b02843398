package bbtconfig

import (
	"fmt"

	"bluebelltray/core/bbtini"
)

// place is where a section or key stands.
type place struct {
	file string
	line int
}

// String returns file:line.
func (p place) String() string { return fmt.Sprintf("%s:%d", p.file, p.line) }

// use is a key that names an item defined elsewhere.
type use struct {
	of      string // the kind of item
	name    string
	at      place
	section string
	key     string
}

// newUse returns the use of a name by a key of a section.
func newUse(s *bbtini.Section, key, of, name string) use {
	at := place{file: s.File(), line: s.LineOf(key)}
	return use{of: of, name: name, at: at, section: s.Title(), key: key}
}

// poolKind names pools among the kinds of item; endpoints define them.
const poolKind = "pool"

// seen records where each item was first defined. The zero value is ready to
// use.
type seen struct {
	items map[string]place
	zones map[string]bool
	pools map[string]bool
	addrs map[string]place
}

// item records a section and returns the place of an earlier one with the same
// header.
func (n *seen) item(s *bbtini.Section) (place, bool) {
	if n.items == nil {
		n.items = make(map[string]place)
		n.zones = make(map[string]bool)
		n.pools = make(map[string]bool)
		n.addrs = make(map[string]place)
	}
	if first, ok := n.items[s.Title()]; ok {
		return first, true
	}
	n.items[s.Title()] = place{file: s.File(), line: s.Line()}
	if s.Kind() == zoneKind {
		n.zones[s.Name()] = true
	}
	return place{}, false
}

// addr records an endpoint's address and returns the place of an earlier
// endpoint with the same one.
func (n *seen) addr(addr string, at place) (place, bool) {
	first, ok := n.addrs[addr]
	if !ok {
		n.addrs[addr] = at
	}
	return first, ok
}

// names returns the names defined of a kind.
func (n *seen) names(kind string) map[string]bool {
	if kind == poolKind {
		return n.pools
	}
	return n.zones
}
