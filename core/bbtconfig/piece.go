package bbtconfig

import (
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
)

// The kinds of sections in a part.
const (
	zoneKind     = "zone"
	endpointKind = "endpoint"
	contractKind = "contract"
)

// parsedPart holds the contents of one part before it is checked against other
// parts.
type parsedPart struct {
	file          string
	zones         []bbtfleet.Zone
	zoneLines     []sectionLines
	endpoints     []bbtfleet.Endpoint
	endpointLines []sectionLines
	contracts     []bbtfleet.Contract
	contractLines []sectionLines
	report        bbtini.Report
}

// sectionLines holds the lines of a section at which the checks against other
// sections report problems.
type sectionLines struct {
	header    int32
	reference int32 // line of the key that refers to other sections
	address   int32
}

// linesOf returns the line numbers of a section and of its reference and
// address keys.
func linesOf(s *bbtini.Section, reference, address string) sectionLines {
	return sectionLines{
		header:    int32(s.Line()),
		reference: int32(s.LineOf(reference)),
		address:   int32(s.LineOf(address)),
	}
}

// parsePart parses a part.
func parsePart(part Part) *parsedPart {
	p := &parsedPart{file: part.key}
	for s := range bbtini.Sections(part.key, part.data, &p.report) {
		p.parseSection(s)
	}
	return p
}

// parseSection parses a section of any kind.
func (p *parsedPart) parseSection(s *bbtini.Section) {
	known := s.Kind() == zoneKind || s.Kind() == endpointKind || s.Kind() == contractKind
	if !known || s.Name() == "" {
		s.ReportProblem("unknown section", bbtini.WithWant("[zone NAME], [endpoint NAME] or [contract ACCOUNT]"))
		return
	}
	switch s.Kind() {
	case zoneKind:
		p.parseZone(s)
	case endpointKind:
		p.parseEndpoint(s)
	case contractKind:
		p.parseContract(s)
	}
	s.ReportUnknownKeys()
}
