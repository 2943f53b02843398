package bbtconfig

import "fmt"

// place is where a section or key stands.
type place struct {
	file string
	line int32
}

// String returns file:line.
func (p place) String() string { return fmt.Sprintf("%s:%d", p.file, p.line) }

// itemName is the header of a section.
type itemName struct {
	kind string
	name string
}

// seen records where each item was first defined.
type seen struct {
	items map[itemName]place
	zones map[string]bool
	pools map[string]bool
	addrs map[string]place
}

// reset forgets all items and makes room for a number of them.
func (n *seen) reset(items int) {
	*n = seen{
		items: make(map[itemName]place, items),
		zones: make(map[string]bool),
		pools: make(map[string]bool),
		addrs: make(map[string]place),
	}
}

// item records a section and returns the place of an earlier one with the same
// header.
func (n *seen) item(name itemName, at place) (place, bool) {
	first, ok := n.items[name]
	if !ok {
		n.items[name] = at
	}
	return first, ok
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
