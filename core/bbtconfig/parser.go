package bbtconfig

import "bluebelltray/core/bbtfleet"

// Parser reads configurations one after another and reads again only the parts
// that have changed since the last one. The zero value is ready to use. It is
// not safe for concurrent use.
type Parser struct {
	pieces map[PartRef]*piece // the last configuration's, if it was sound
}

// Parse reads the parts that a manifest names and checks them against one
// another. Parts may come in any order; the result depends on nothing but the
// manifest and the parts, so that every host reaches the same verdict.
//
// The error is a *MismatchError if a part is missing or is not the text that
// the manifest names, which happens while a new configuration is being
// published, and a *bbtini.Error with all problems if the configuration itself
// is wrong.
func (p *Parser) Parse(m Manifest, parts []Part) (*bbtfleet.Configuration, error) {
	byKey := make(map[string]Part, len(parts))
	for _, part := range parts {
		byKey[part.key] = part
	}
	for _, ref := range m.parts {
		part, ok := byKey[ref.key]
		if !ok || !ref.Matches(part.data) {
			return nil, &MismatchError{key: ref.key, missing: !ok}
		}
	}
	pieces := make([]*piece, 0, len(m.parts))
	for _, ref := range m.parts {
		pieces = append(pieces, p.piece(ref, byKey[ref.key]))
	}
	var b builder
	cfg, err := b.join(m.version, pieces)
	if err == nil {
		p.keep(m.parts, pieces)
	}
	return cfg, err
}

// piece returns what a part holds and reads the part only if it is new.
func (p *Parser) piece(ref PartRef, part Part) *piece {
	if known, ok := p.pieces[ref]; ok {
		return known
	}
	return readPiece(part)
}

// keep remembers the pieces of a sound configuration and no others.
func (p *Parser) keep(refs []PartRef, pieces []*piece) {
	p.pieces = make(map[PartRef]*piece, len(refs))
	for i, ref := range refs {
		p.pieces[ref] = pieces[i]
	}
}
