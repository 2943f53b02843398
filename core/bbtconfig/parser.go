package bbtconfig

import "bluebelltray/core/bbtfleet"

// Parser parses successive configurations and parses only those parts that have
// changed since the last valid one. The zero value is ready to use. It is not
// safe for concurrent use.
type Parser struct {
	parsedParts map[PartRef]*parsedPart // of the last valid configuration
}

// Parse parses the parts listed by a manifest and checks them against each
// other. Parts may be in any order. The result depends only on the manifest and
// the parts, so that every host accepts or refuses a configuration alike.
//
// The error is a *MismatchError if a part is missing or does not match the
// manifest, which happens while a new configuration is being published, and a
// *bbtini.Error with all problems if the configuration itself is invalid.
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
	parsedParts := make([]*parsedPart, 0, len(m.parts))
	for _, ref := range m.parts {
		parsedParts = append(parsedParts, p.parsedPart(ref, byKey[ref.key]))
	}
	var b builder
	cfg, err := b.build(m.version, parsedParts)
	if err == nil {
		p.cache(m.parts, parsedParts)
	}
	return cfg, err
}

// parsedPart returns a parsed part, from the cache if it has not changed.
func (p *Parser) parsedPart(ref PartRef, part Part) *parsedPart {
	if known, ok := p.parsedParts[ref]; ok {
		return known
	}
	return parsePart(part)
}

// cache keeps the parsed parts of a valid configuration and drops all others.
func (p *Parser) cache(refs []PartRef, parsedParts []*parsedPart) {
	p.parsedParts = make(map[PartRef]*parsedPart, len(refs))
	for i, ref := range refs {
		p.parsedParts[ref] = parsedParts[i]
	}
}
