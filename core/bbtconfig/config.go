// Package bbtconfig reads and writes the published configuration: a manifest,
// and parts in INI that hold zones, endpoints and contracts.
package bbtconfig

import "bluebelltray/core/bbtfleet"

// Parse reads the parts that a manifest names and checks them against one
// another, as Parser.Parse does.
func Parse(m Manifest, parts []Part) (*bbtfleet.Configuration, error) {
	var p Parser
	return p.Parse(m, parts)
}

// Check reads all parts of a configuration without a manifest and returns the
// configuration under the zero version. The error is a *bbtini.Error with all
// problems.
func Check(parts ...Part) (*bbtfleet.Configuration, error) {
	var b builder
	return b.join(bbtfleet.Version{}, readPieces(parts))
}

// CheckPartial reads some parts of a configuration, as Check does, and misses no
// item that another part would define: a contract may name any pool if no part
// holds an endpoint, and an endpoint any zone if no part holds a zone.
func CheckPartial(parts ...Part) (*bbtfleet.Configuration, error) {
	b := builder{partial: true}
	return b.join(bbtfleet.Version{}, readPieces(parts))
}

// readPieces reads each part.
func readPieces(parts []Part) []*piece {
	pieces := make([]*piece, 0, len(parts))
	for _, p := range parts {
		pieces = append(pieces, readPiece(p))
	}
	return pieces
}
