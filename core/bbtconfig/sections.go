package bbtconfig

import (
	"strings"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
	"bluebelltray/core/bbtunit"
)

// Keys whose values are checked against other sections.
const (
	zoneKey       = "zone"
	addressKey    = "address"
	repeatableKey = "repeatable"
)

// parseZone parses a section [zone NAME].
func (p *parsedPart) parseZone(s *bbtini.Section) {
	region, _ := bbtini.Require(s, "region", bbtini.ParseName)
	outOfService, _ := bbtini.Optional(s, "state", false, parseOutOfService)
	p.zones = append(p.zones, bbtfleet.NewZone(bbtfleet.ZoneID(strings.Clone(s.Name())), region, outOfService))
	p.zoneLines = append(p.zoneLines, linesOf(s, "", ""))
}

// parseEndpoint parses a section [endpoint NAME].
func (p *parsedPart) parseEndpoint(s *bbtini.Section) {
	zone, _ := bbtini.Require(s, zoneKey, bbtini.ParseName)
	kind, _ := bbtini.Require(s, "kind", parseKind)
	pool, _ := bbtini.Require(s, "pool", bbtini.ParseName)
	slots, _ := bbtini.Require(s, "slots", parseSlots)
	addr, _ := bbtini.Require(s, addressKey, bbtunit.ParseAddr)
	outOfService, _ := bbtini.Optional(s, "state", false, parseOutOfService)
	fencing, _ := bbtini.Optional(s, "fencing", false, parseYesNo)
	id := bbtfleet.EndpointID(strings.Clone(s.Name()))
	p.endpoints = append(p.endpoints, bbtfleet.NewEndpoint(id, bbtfleet.ZoneID(zone), kind, bbtfleet.PoolID(pool),
		bbtfleet.WithAddr(addr),
		bbtfleet.WithSlots(slots),
		bbtfleet.WithEndpointOutOfService(outOfService),
		bbtfleet.WithFencing(fencing)))
	p.endpointLines = append(p.endpointLines, linesOf(s, zoneKey, addressKey))
}

// parseContract parses a section [contract ACCOUNT].
func (p *parsedPart) parseContract(s *bbtini.Section) {
	tier, _ := bbtini.Require(s, "tier", parseTier)
	deadline, _ := bbtini.Require(s, "deadline", parseDeadline)
	opts := []bbtfleet.ContractOption{
		bbtfleet.WithDeadline(deadline),
		bbtfleet.WithRequests(readRate(s, "requests", "request-burst", bbtunit.Requests)),
		bbtfleet.WithTokens(readRate(s, "tokens", "token-burst", bbtunit.Tokens)),
	}
	retries, _ := bbtini.Optional(s, repeatableKey, nil, parseRetries)
	for _, r := range retries {
		opts = append(opts, bbtfleet.WithMaxRetries(r.pool, r.count))
	}
	account := bbtfleet.AccountID(strings.Clone(s.Name()))
	p.contracts = append(p.contracts, bbtfleet.NewContract(account, tier, opts...))
	p.contractLines = append(p.contractLines, linesOf(s, repeatableKey, ""))
}

// readRate parses a rate and its burst. The default burst is the amount of one
// second, but at least one unit.
func readRate(s *bbtini.Section, rateKey, burstKey string, unit bbtunit.Unit) bbtfleet.Rate {
	perSecond, rateOK := bbtini.Require(s, rateKey, rateParser(unit))
	burst, burstOK := bbtini.Optional(s, burstKey, 0, burstParser(unit))
	if rateOK && perSecond == 0 {
		if burstOK && burst > 0 {
			s.ReportKeyProblem(burstKey, "is not allowed for an unlimited rate",
				bbtini.WithValue(bbtunit.FormatAmount(burst, unit)), bbtini.WithWant("no burst, or a rate for "+rateKey))
		}
		return bbtfleet.Rate{}
	}
	if burst == 0 {
		burst = max(1, perSecond)
	}
	return bbtfleet.NewRate(perSecond, burst)
}
