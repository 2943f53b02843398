package bbtconfig

import (
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
)

// The kinds of section in a part.
const (
	zoneKind     = "zone"
	endpointKind = "endpoint"
	contractKind = "contract"
)

// piece is what one part holds, before it is checked against other parts.
type piece struct {
	file          string
	zones         []bbtfleet.Zone
	zoneLines     []lines
	endpoints     []bbtfleet.Endpoint
	endpointLines []lines
	contracts     []bbtfleet.Contract
	contractLines []lines
	report        bbtini.Report
}

// lines is where the parts of a section stand that other parts may contradict.
type lines struct {
	header  int32
	use     int32 // the key that names items of other sections
	address int32
}

// linesOf returns the lines of a section, of which use and address are keys.
func linesOf(s *bbtini.Section, use, address string) lines {
	return lines{
		header:  int32(s.Line()),
		use:     int32(s.LineOf(use)),
		address: int32(s.LineOf(address)),
	}
}

// readPiece reads a part.
func readPiece(part Part) *piece {
	p := &piece{file: part.key}
	for s := range bbtini.Sections(part.key, part.data, &p.report) {
		p.section(s)
	}
	return p
}

// section reads one section.
func (p *piece) section(s *bbtini.Section) {
	known := s.Kind() == zoneKind || s.Kind() == endpointKind || s.Kind() == contractKind
	if !known || s.Name() == "" {
		s.ReportProblem("unknown section", bbtini.WithWant("[zone NAME], [endpoint NAME] or [contract ACCOUNT]"))
		return
	}
	switch s.Kind() {
	case zoneKind:
		p.zone(s)
	case endpointKind:
		p.endpoint(s)
	case contractKind:
		p.contract(s)
	}
	s.ReportUnknownKeys()
}
