package bbtconfig

import (
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
)

// builder combines parsed parts and checks references and duplicates among
// them.
type builder struct {
	partial   bool
	report    bbtini.Report
	seen      seen
	zones     []bbtfleet.Zone
	endpoints []bbtfleet.Endpoint
	contracts []bbtfleet.Contract
}

// add adds a parsed part.
func (b *builder) add(p *parsedPart) {
	b.report.Merge(&p.report)
	for i, z := range p.zones {
		b.recordSection(p, zoneKind, string(z.ID()), p.zoneLines[i].header)
		b.seen.zones[string(z.ID())] = true
	}
	for i, e := range p.endpoints {
		b.recordSection(p, endpointKind, string(e.ID()), p.endpointLines[i].header)
		b.seen.pools[string(e.Pool())] = true
		b.recordAddress(p, e, p.endpointLines[i])
	}
	for i, c := range p.contracts {
		b.recordSection(p, contractKind, string(c.Account()), p.contractLines[i].header)
	}
	b.zones = append(b.zones, p.zones...)
	b.endpoints = append(b.endpoints, p.endpoints...)
	b.contracts = append(b.contracts, p.contracts...)
}

// recordSection records a section and reports it if it is a duplicate.
func (b *builder) recordSection(p *parsedPart, kind, name string, line int32) {
	first, ok := b.seen.recordHeader(sectionHeader{kind: kind, name: name}, location{file: p.file, line: line})
	if ok {
		b.report.Add(bbtini.NewProblem(p.file, int(line), "section is defined twice", bbtini.WithSection(kind+" "+name),
			bbtini.WithWant("another name; the first is at "+first.String())))
	}
}

// recordAddress records the address of an endpoint and reports it if another
// endpoint has the same one.
func (b *builder) recordAddress(p *parsedPart, e bbtfleet.Endpoint, at sectionLines) {
	if e.Addr() == "" {
		return // already reported as missing or invalid
	}
	first, ok := b.seen.recordAddr(e.Addr(), location{file: p.file, line: at.address})
	if ok {
		b.report.Add(bbtini.NewProblem(p.file, int(at.address), "is already used by another endpoint",
			bbtini.WithSection(endpointKind+" "+string(e.ID())), bbtini.WithKey(addressKey), bbtini.WithValue(e.Addr()),
			bbtini.WithWant("another address; the first use is at "+first.String())))
	}
}

// checkReferences reports the zones and pools that a part refers to and no part
// defines.
func (b *builder) checkReferences(p *parsedPart) {
	checkZones := !b.partial || len(b.seen.zones) > 0
	for i, e := range p.endpoints {
		if zone := string(e.Zone()); checkZones && zone != "" && !b.seen.zones[zone] {
			b.report.Add(bbtini.NewProblem(p.file, int(p.endpointLines[i].reference), "is not a defined zone",
				bbtini.WithSection(endpointKind+" "+string(e.ID())), bbtini.WithKey(zoneKey), bbtini.WithValue(zone),
				bbtini.WithWant("the name of a [zone NAME]")))
		}
	}
	if b.partial && len(b.seen.pools) == 0 {
		return
	}
	for i, c := range p.contracts {
		b.pools(p, c, p.contractLines[i].reference)
	}
}

// pools reports the retryable pools of a contract that have no endpoint.
func (b *builder) pools(p *parsedPart, c bbtfleet.Contract, line int32) {
	for _, pool := range c.RetryablePools() {
		if !b.seen.pools[string(pool)] {
			b.report.Add(bbtini.NewProblem(p.file, int(line), "is not a defined pool",
				bbtini.WithSection(contractKind+" "+string(c.Account())), bbtini.WithKey(repeatableKey),
				bbtini.WithValue(string(pool)), bbtini.WithWant("the pool of an [endpoint NAME]")))
		}
	}
}

// build returns the configuration of all parts, or an error with all problems.
func (b *builder) build(v bbtfleet.Version, parsedParts []*parsedPart) (*bbtfleet.Configuration, error) {
	contracts, sections := 0, 0
	for _, p := range parsedParts {
		contracts += len(p.contracts)
		sections += len(p.contracts) + len(p.endpoints) + len(p.zones)
	}
	b.contracts = make([]bbtfleet.Contract, 0, contracts)
	b.seen.reset(sections)
	for _, p := range parsedParts {
		b.add(p)
	}
	for _, p := range parsedParts {
		b.checkReferences(p)
	}
	if err := b.report.Err(); err != nil {
		return nil, err
	}
	return bbtfleet.NewConfiguration(v,
		bbtfleet.WithZones(b.zones...),
		bbtfleet.WithEndpoints(b.endpoints...),
		bbtfleet.WithContracts(b.contracts...)), nil
}
