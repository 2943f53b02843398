package bbtconfig

import (
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
)

// builder joins pieces and checks them against one another.
type builder struct {
	partial   bool
	report    bbtini.Report
	seen      seen
	zones     []bbtfleet.Zone
	endpoints []bbtfleet.Endpoint
	contracts []bbtfleet.Contract
}

// add joins a piece to those before it.
func (b *builder) add(p *piece) {
	b.report.Merge(&p.report)
	for i, z := range p.zones {
		b.define(p, zoneKind, string(z.ID()), p.zoneLines[i].header)
		b.seen.zones[string(z.ID())] = true
	}
	for i, e := range p.endpoints {
		b.define(p, endpointKind, string(e.ID()), p.endpointLines[i].header)
		b.seen.pools[string(e.Pool())] = true
		b.address(p, e, p.endpointLines[i])
	}
	for i, c := range p.contracts {
		b.define(p, contractKind, string(c.Account()), p.contractLines[i].header)
	}
	b.zones = append(b.zones, p.zones...)
	b.endpoints = append(b.endpoints, p.endpoints...)
	b.contracts = append(b.contracts, p.contracts...)
}

// define records a section and reports one that stands twice.
func (b *builder) define(p *piece, kind, name string, line int32) {
	first, ok := b.seen.item(itemName{kind: kind, name: name}, place{file: p.file, line: line})
	if ok {
		b.report.Add(bbtini.NewProblem(p.file, int(line), "section stands twice", bbtini.WithSection(kind+" "+name),
			bbtini.WithWant("another name; the first is at "+first.String())))
	}
}

// address records an endpoint's address and reports one that another endpoint
// has.
func (b *builder) address(p *piece, e bbtfleet.Endpoint, at lines) {
	if e.Addr() == "" {
		return // reported already
	}
	first, ok := b.seen.addr(e.Addr(), place{file: p.file, line: at.address})
	if ok {
		b.report.Add(bbtini.NewProblem(p.file, int(at.address), "belongs to another endpoint",
			bbtini.WithSection(endpointKind+" "+string(e.ID())), bbtini.WithKey(addressKey), bbtini.WithValue(e.Addr()),
			bbtini.WithWant("another address; the first use is at "+first.String())))
	}
}

// resolve reports the zones and pools that a piece names and no piece defines.
func (b *builder) resolve(p *piece) {
	checkZones := !b.partial || len(b.seen.zones) > 0
	for i, e := range p.endpoints {
		if zone := string(e.Zone()); checkZones && zone != "" && !b.seen.zones[zone] {
			b.report.Add(bbtini.NewProblem(p.file, int(p.endpointLines[i].use), "names no zone",
				bbtini.WithSection(endpointKind+" "+string(e.ID())), bbtini.WithKey(zoneKey), bbtini.WithValue(zone),
				bbtini.WithWant("the name of a [zone NAME]")))
		}
	}
	if b.partial && len(b.seen.pools) == 0 {
		return
	}
	for i, c := range p.contracts {
		b.pools(p, c, p.contractLines[i].use)
	}
}

// pools reports the repeatable pools of a contract that no endpoint has.
func (b *builder) pools(p *piece, c bbtfleet.Contract, line int32) {
	for _, pool := range c.RetryablePools() {
		if !b.seen.pools[string(pool)] {
			b.report.Add(bbtini.NewProblem(p.file, int(line), "names no pool",
				bbtini.WithSection(contractKind+" "+string(c.Account())), bbtini.WithKey(repeatableKey),
				bbtini.WithValue(string(pool)), bbtini.WithWant("the pool of an [endpoint NAME]")))
		}
	}
}

// join returns the configuration of all pieces, or all problems.
func (b *builder) join(v bbtfleet.Version, pieces []*piece) (*bbtfleet.Configuration, error) {
	contracts, items := 0, 0
	for _, p := range pieces {
		contracts += len(p.contracts)
		items += len(p.contracts) + len(p.endpoints) + len(p.zones)
	}
	b.contracts = make([]bbtfleet.Contract, 0, contracts)
	b.seen.reset(items)
	for _, p := range pieces {
		b.add(p)
	}
	for _, p := range pieces {
		b.resolve(p)
	}
	if err := b.report.Err(); err != nil {
		return nil, err
	}
	return bbtfleet.NewConfiguration(v,
		bbtfleet.WithZones(b.zones...),
		bbtfleet.WithEndpoints(b.endpoints...),
		bbtfleet.WithContracts(b.contracts...)), nil
}
