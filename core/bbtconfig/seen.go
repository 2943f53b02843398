package bbtconfig

import "fmt"

// location is the file and line of a section or key.
type location struct {
	file string
	line int32
}

// String returns file:line.
func (l location) String() string { return fmt.Sprintf("%s:%d", l.file, l.line) }

// sectionHeader is the kind and the name in the header of a section.
type sectionHeader struct {
	kind string
	name string
}

// seen records the section headers, zones, pools and addresses found so far.
type seen struct {
	headers map[sectionHeader]location
	zones   map[string]bool
	pools   map[string]bool
	addrs   map[string]location
}

// reset removes all records and allocates space for the given number of section
// headers.
func (s *seen) reset(headers int) {
	*s = seen{
		headers: make(map[sectionHeader]location, headers),
		zones:   make(map[string]bool),
		pools:   make(map[string]bool),
		addrs:   make(map[string]location),
	}
}

// recordHeader records the header of a section and returns the location of an
// earlier section with the same header.
func (s *seen) recordHeader(header sectionHeader, at location) (location, bool) {
	first, ok := s.headers[header]
	if !ok {
		s.headers[header] = at
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
