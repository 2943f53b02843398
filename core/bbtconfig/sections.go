package bbtconfig

import (
	"strings"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
	"bluebelltray/core/bbtunit"
)

// zone reads a section [zone NAME].
func (b *builder) zone(s *bbtini.Section) {
	region, _ := bbtini.Require(s, "region", bbtini.ParseName)
	out, _ := bbtini.Optional(s, "state", false, parseOut)
	b.zones = append(b.zones, bbtfleet.NewZone(bbtfleet.ZoneID(strings.Clone(s.Name())), region, out))
}

// endpoint reads a section [endpoint NAME].
func (b *builder) endpoint(s *bbtini.Section) {
	zone, ok := bbtini.Require(s, "zone", bbtini.ParseName)
	if ok {
		b.use(s, "zone", zoneKind, zone)
	}
	kind, _ := bbtini.Require(s, "kind", parseKind)
	pool, ok := bbtini.Require(s, "pool", bbtini.ParseName)
	if ok {
		b.seen.pools[pool] = true
	}
	slots, _ := bbtini.Require(s, "slots", parseSlots)
	out, _ := bbtini.Optional(s, "state", false, parseOut)
	fencing, _ := bbtini.Optional(s, "fencing", false, parseYes)
	id := bbtfleet.EndpointID(strings.Clone(s.Name()))
	b.endpoints = append(b.endpoints, bbtfleet.NewEndpoint(id, bbtfleet.ZoneID(zone), kind, bbtfleet.PoolID(pool),
		bbtfleet.WithAddr(b.address(s)),
		bbtfleet.WithSlots(slots),
		bbtfleet.WithEndpointOut(out),
		bbtfleet.WithFencing(fencing)))
}

// address reads an endpoint's address and reports one that another endpoint
// has.
func (b *builder) address(s *bbtini.Section) string {
	const key = "address"
	addr, ok := bbtini.Require(s, key, bbtunit.ParseAddr)
	if !ok {
		return ""
	}
	first, taken := b.seen.addr(addr, place{file: s.File(), line: s.LineOf(key)})
	if taken {
		s.RefuseKey(key, "belongs to another endpoint", bbtini.WithValue(addr),
			bbtini.WithWant("another address; the first use is at "+first.String()))
	}
	return addr
}

// contract reads a section [contract ACCOUNT].
func (b *builder) contract(s *bbtini.Section) {
	tier, _ := bbtini.Require(s, "tier", parseTier)
	deadline, _ := bbtini.Require(s, "deadline", parseDeadline)
	opts := []bbtfleet.ContractOption{
		bbtfleet.WithDeadline(deadline),
		bbtfleet.WithRequests(readRate(s, "requests", "request-burst", bbtunit.Requests)),
		bbtfleet.WithTokens(readRate(s, "tokens", "token-burst", bbtunit.Tokens)),
	}
	repeats, _ := bbtini.Optional(s, "repeatable", nil, parseRepeats)
	for _, r := range repeats {
		b.use(s, "repeatable", poolKind, string(r.pool))
		opts = append(opts, bbtfleet.WithRepeatable(r.pool, r.count))
	}
	b.contracts = append(b.contracts, bbtfleet.NewContract(bbtfleet.AccountID(strings.Clone(s.Name())), tier, opts...))
}

// readRate reads a rate and its burst. The burst of one second's worth, but at
// least one unit, is assumed if none is given.
func readRate(s *bbtini.Section, rateKey, burstKey string, unit bbtunit.Unit) bbtfleet.Rate {
	perSecond, ok := bbtini.Require(s, rateKey, rateParser(unit))
	burst, given := bbtini.Optional(s, burstKey, 0, burstParser(unit))
	if ok && perSecond == 0 {
		if given && burst > 0 {
			s.RefuseKey(burstKey, "stands beside a rate without a limit",
				bbtini.WithValue(bbtunit.FormatAmount(burst, unit)), bbtini.WithWant("no burst, or a rate for "+rateKey))
		}
		return bbtfleet.Rate{}
	}
	if burst == 0 {
		burst = max(1, perSecond)
	}
	return bbtfleet.NewRate(perSecond, burst)
}
