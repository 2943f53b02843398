package bbtconfig

import "fmt"

// location is the file and line of a section or key.
type location struct {
	file string
	line int32
}

// String returns file:line.
func (l location) String() string { return fmt.Sprintf("%s:%d", l.file, l.line) }

// itemKey identifies a section by its header.
type itemKey struct {
	kind string
	name string
}

// seen records the sections, zones, pools and addresses found so far.
type seen struct {
	items map[itemKey]location
	zones map[string]bool
	pools map[string]bool
	addrs map[string]location
}

// reset removes all items and allocates space for the given number of items.
func (s *seen) reset(items int) {
	*s = seen{
		items: make(map[itemKey]location, items),
		zones: make(map[string]bool),
		pools: make(map[string]bool),
		addrs: make(map[string]location),
	}
}

// recordItem records a section and returns the location of an earlier one with
// the same header.
func (s *seen) recordItem(key itemKey, at location) (location, bool) {
	first, ok := s.items[key]
	if !ok {
		s.items[key] = at
	}
	return first, ok
}

// recordAddr records the address of an endpoint and returns the location of an
// earlier endpoint with the same address.
func (s *seen) recordAddr(addr string, at location) (location, bool) {
	first, ok := s.addrs[addr]
	if !ok {
		s.addrs[addr] = at
	}
	return first, ok
}
