// Package bbtconfig reads and writes the published configuration: a manifest,
// and parts in INI that hold zones, endpoints and contracts.
package bbtconfig

import (
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
)

// Parse reads the parts that a manifest names and checks them against one
// another. Parts may come in any order; the result depends on nothing but the
// manifest and the parts, so that every host reaches the same verdict.
//
// The error is a *MismatchError if a part is missing or is not the text that
// the manifest names, which happens while a new configuration is being
// published, and a *bbtini.Error with all problems if the configuration itself
// is wrong.
func Parse(m Manifest, parts []Part) (*bbtfleet.Configuration, error) {
	byKey := make(map[string]Part, len(parts))
	for _, p := range parts {
		byKey[p.key] = p
	}
	for _, ref := range m.parts {
		p, ok := byKey[ref.key]
		if !ok || !ref.Matches(p.data) {
			return nil, &MismatchError{key: ref.key, missing: !ok}
		}
	}
	var b builder
	for _, ref := range m.parts {
		b.read(byKey[ref.key])
	}
	return b.finish(m.version)
}

// Check reads all parts of a configuration without a manifest and returns the
// configuration under the zero version. The error is a *bbtini.Error with all
// problems.
func Check(parts ...Part) (*bbtfleet.Configuration, error) {
	var b builder
	return b.check(parts)
}

// CheckSome reads some parts of a configuration, as Check does, and misses no
// item that another part would define: a contract may name any pool if no part
// holds an endpoint, and an endpoint any zone if no part holds a zone.
func CheckSome(parts ...Part) (*bbtfleet.Configuration, error) {
	b := builder{partial: true}
	return b.check(parts)
}

// check reads parts and returns the configuration under the zero version.
func (b *builder) check(parts []Part) (*bbtfleet.Configuration, error) {
	for _, p := range parts {
		b.read(p)
	}
	return b.finish(bbtfleet.Version{})
}

// read reads one part.
func (b *builder) read(p Part) {
	for s := range bbtini.Sections(p.key, p.data, &b.report) {
		b.section(s)
	}
}
