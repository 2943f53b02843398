// Package bbtconfig reads and writes the published configuration. It consists
// of a manifest and of parts, which are INI texts with zones, endpoints and
// contracts.
package bbtconfig

import "bluebelltray/core/bbtfleet"

// Parse parses the parts listed by a manifest and checks them against each
// other, as Parser.Parse does.
func Parse(m Manifest, parts []Part) (*bbtfleet.Configuration, error) {
	var p Parser
	return p.Parse(m, parts)
}

// Check parses all parts of a configuration without a manifest and returns the
// configuration with the zero version. The error is a *bbtini.Error with all
// problems.
func Check(parts ...Part) (*bbtfleet.Configuration, error) {
	var b builder
	return b.build(bbtfleet.Version{}, parseParts(parts))
}

// CheckPartial parses some parts of a configuration, as Check does, but accepts
// references to pools and zones that other parts may define: a contract may
// refer to any pool if no part contains an endpoint, and an endpoint to any zone
// if no part contains a zone.
func CheckPartial(parts ...Part) (*bbtfleet.Configuration, error) {
	b := builder{partial: true}
	return b.build(bbtfleet.Version{}, parseParts(parts))
}

// parseParts parses each part.
func parseParts(parts []Part) []*parsedPart {
	parsedParts := make([]*parsedPart, 0, len(parts))
	for _, p := range parts {
		parsedParts = append(parsedParts, parsePart(p))
	}
	return parsedParts
}
