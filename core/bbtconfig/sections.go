package bbtconfig

import (
	"strings"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
	"bluebelltray/core/bbtunit"
)

// The keys that name items of other sections, or an endpoint's address.
const (
	zoneKey       = "zone"
	addressKey    = "address"
	repeatableKey = "repeatable"
)

// zone reads a section [zone NAME].
func (p *piece) zone(s *bbtini.Section) {
	region, _ := bbtini.Require(s, "region", bbtini.ParseName)
	out, _ := bbtini.Optional(s, "state", false, parseOut)
	p.zones = append(p.zones, bbtfleet.NewZone(bbtfleet.ZoneID(strings.Clone(s.Name())), region, out))
	p.zoneLines = append(p.zoneLines, linesOf(s, "", ""))
}

// endpoint reads a section [endpoint NAME].
func (p *piece) endpoint(s *bbtini.Section) {
	zone, _ := bbtini.Require(s, zoneKey, bbtini.ParseName)
	kind, _ := bbtini.Require(s, "kind", parseKind)
	pool, _ := bbtini.Require(s, "pool", bbtini.ParseName)
	slots, _ := bbtini.Require(s, "slots", parseSlots)
	addr, _ := bbtini.Require(s, addressKey, bbtunit.ParseAddr)
	out, _ := bbtini.Optional(s, "state", false, parseOut)
	fencing, _ := bbtini.Optional(s, "fencing", false, parseYes)
	id := bbtfleet.EndpointID(strings.Clone(s.Name()))
	p.endpoints = append(p.endpoints, bbtfleet.NewEndpoint(id, bbtfleet.ZoneID(zone), kind, bbtfleet.PoolID(pool),
		bbtfleet.WithAddr(addr),
		bbtfleet.WithSlots(slots),
		bbtfleet.WithEndpointOutOfService(out),
		bbtfleet.WithFencing(fencing)))
	p.endpointLines = append(p.endpointLines, linesOf(s, zoneKey, addressKey))
}

// contract reads a section [contract ACCOUNT].
func (p *piece) contract(s *bbtini.Section) {
	tier, _ := bbtini.Require(s, "tier", parseTier)
	deadline, _ := bbtini.Require(s, "deadline", parseDeadline)
	opts := []bbtfleet.ContractOption{
		bbtfleet.WithDeadline(deadline),
		bbtfleet.WithRequests(readRate(s, "requests", "request-burst", bbtunit.Requests)),
		bbtfleet.WithTokens(readRate(s, "tokens", "token-burst", bbtunit.Tokens)),
	}
	repeats, _ := bbtini.Optional(s, repeatableKey, nil, parseRepeats)
	for _, r := range repeats {
		opts = append(opts, bbtfleet.WithMaxRetries(r.pool, r.count))
	}
	account := bbtfleet.AccountID(strings.Clone(s.Name()))
	p.contracts = append(p.contracts, bbtfleet.NewContract(account, tier, opts...))
	p.contractLines = append(p.contractLines, linesOf(s, repeatableKey, ""))
}

// readRate reads a rate and its burst. The burst of one second's worth, but at
// least one unit, is assumed if none is given.
func readRate(s *bbtini.Section, rateKey, burstKey string, unit bbtunit.Unit) bbtfleet.Rate {
	perSecond, ok := bbtini.Require(s, rateKey, rateParser(unit))
	burst, given := bbtini.Optional(s, burstKey, 0, burstParser(unit))
	if ok && perSecond == 0 {
		if given && burst > 0 {
			s.ReportKeyProblem(burstKey, "stands beside a rate without a limit",
				bbtini.WithValue(bbtunit.FormatAmount(burst, unit)), bbtini.WithWant("no burst, or a rate for "+rateKey))
		}
		return bbtfleet.Rate{}
	}
	if burst == 0 {
		burst = max(1, perSecond)
	}
	return bbtfleet.NewRate(perSecond, burst)
}
