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

// builder gathers the sections of all parts and checks them against one
// another.
type builder struct {
	partial   bool
	report    bbtini.Report
	zones     []bbtfleet.Zone
	endpoints []bbtfleet.Endpoint
	contracts []bbtfleet.Contract
	seen      seen
	uses      []use // of items not known when they were read
}

// section reads one section.
func (b *builder) section(s *bbtini.Section) {
	known := s.Kind() == zoneKind || s.Kind() == endpointKind || s.Kind() == contractKind
	if !known || s.Name() == "" {
		s.Refuse("unknown section", bbtini.WithWant("[zone NAME], [endpoint NAME] or [contract ACCOUNT]"))
		return
	}
	if first, ok := b.seen.item(s); ok {
		s.Refuse("section stands twice", bbtini.WithWant("another name; the first is at "+first.String()))
	}
	switch s.Kind() {
	case zoneKind:
		b.zone(s)
	case endpointKind:
		b.endpoint(s)
	case contractKind:
		b.contract(s)
	}
	s.Done()
}

// finish makes the cross checks and returns the configuration.
func (b *builder) finish(v bbtfleet.Version) (*bbtfleet.Configuration, error) {
	for _, u := range b.uses {
		b.resolve(u)
	}
	if err := b.report.Err(); err != nil {
		return nil, err
	}
	return bbtfleet.NewConfiguration(v,
		bbtfleet.WithZones(b.zones...),
		bbtfleet.WithEndpoints(b.endpoints...),
		bbtfleet.WithContracts(b.contracts...)), nil
}

// use notes that a key names an item. An item that is known already needs no
// check later.
func (b *builder) use(s *bbtini.Section, key, of, name string) {
	if !b.seen.names(of)[name] {
		b.uses = append(b.uses, newUse(s, key, of, name))
	}
}

// resolve reports a use of a name that no section defines.
func (b *builder) resolve(u use) {
	names := b.seen.names(u.of)
	if names[u.name] || b.partial && len(names) == 0 {
		return
	}
	b.report.Add(bbtini.NewProblem(u.at.file, u.at.line, "names no "+u.of,
		bbtini.WithSection(u.section), bbtini.WithKey(u.key), bbtini.WithValue(u.name),
		bbtini.WithWant(definitions(u.of))))
}

// definitions says where a kind of item is defined.
func definitions(of string) string {
	if of == poolKind {
		return "the pool of an [endpoint NAME]"
	}
	return "the name of a [zone NAME]"
}
