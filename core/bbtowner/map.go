package bbtowner

import (
	"cmp"
	"slices"

	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
)

// MaxRanks is the maximum number of hosts that may use an endpoint under one
// view: the owner and its successors.
const MaxRanks = 3

// homesPerAccount is the number of home hosts that HomeHosts returns.
const homesPerAccount = 2

// addressesPerCaller is the number of host addresses that a caller is given.
const addressesPerCaller = 3

// Placement assigns endpoints, client accounts and idempotency keys to the live
// hosts of one view. It caches the ranks it computes and is not safe for
// concurrent use.
type Placement struct {
	config  *bbtfleet.Configuration
	list    bbtfleet.Revision
	hosts   []hashedHost
	zones   map[bbtfleet.ZoneID][]hashedHost
	regions map[string][]hashedHost
	ranks   map[bbtfleet.EndpointID][]bbtfleet.HostID
}

// NewPlacement returns the placement over the live hosts of list. The
// configuration may be nil.
func NewPlacement(cfg *bbtfleet.Configuration, list bbtfleet.HostList) *Placement {
	if cfg == nil {
		cfg = bbtfleet.NewConfiguration(bbtfleet.Version{})
	}
	p := &Placement{
		config:  cfg,
		list:    list.Revision(),
		zones:   make(map[bbtfleet.ZoneID][]hashedHost),
		regions: make(map[string][]hashedHost),
		ranks:   make(map[bbtfleet.EndpointID][]bbtfleet.HostID),
	}
	for _, h := range list.Hosts() {
		if h.State() == bbtfleet.HostLive {
			p.hosts = append(p.hosts, hashedHost{host: h, hash: xxhash.Sum64String(string(h.ID()))})
		}
	}
	slices.SortFunc(p.hosts, func(a, b hashedHost) int { return cmp.Compare(a.host.ID(), b.host.ID()) })
	for _, h := range p.hosts {
		zone := h.host.Zone()
		region := p.regionOf(zone)
		p.zones[zone] = append(p.zones[zone], h)
		p.regions[region] = append(p.regions[region], h)
	}
	return p
}

// Configuration returns the configuration that the placement is computed from.
func (p *Placement) Configuration() *bbtfleet.Configuration { return p.config }

// HostListRevision returns the revision of the host list that the placement is
// computed from.
func (p *Placement) HostListRevision() bbtfleet.Revision { return p.list }

// Owner returns the host that owns the endpoint when all hosts are up. The
// second result is false if there is none.
func (p *Placement) Owner(id bbtfleet.EndpointID) (bbtfleet.HostID, bool) {
	ranks := p.Ranks(id)
	if len(ranks) == 0 {
		return "", false
	}
	return ranks[0], true
}

// LikelyOwner returns the first host in the endpoint's hash order that is up,
// which is most likely its current owner. The second result is false if there
// is none.
func (p *Placement) LikelyOwner(id bbtfleet.EndpointID, up func(bbtfleet.HostID) bool) (bbtfleet.HostID, bool) {
	for _, host := range p.Ranks(id) {
		if up(host) {
			return host, true
		}
	}
	return "", false
}

// Successors returns, in order, the hosts that take over the endpoint when all
// hosts before them have failed. The caller must not modify the slice.
func (p *Placement) Successors(id bbtfleet.EndpointID) []bbtfleet.HostID {
	ranks := p.Ranks(id)
	return ranks[min(1, len(ranks)):]
}

// Ranks returns the owner and the successors of the endpoint. They are live
// hosts of the endpoint's zone, then of its region if the zone has too few, then
// of any region, so that a partition between zones or regions leaves each of
// them in control of its own endpoints and the failure of another zone does not
// affect ownership. The caller must not modify the slice.
func (p *Placement) Ranks(id bbtfleet.EndpointID) []bbtfleet.HostID {
	if ranks, ok := p.ranks[id]; ok {
		return ranks
	}
	e, _ := p.config.Endpoint(id)
	ranks := p.computeRanks(id, e.Zone())
	p.ranks[id] = ranks
	return ranks
}

// Rank returns the host's index in the endpoint's ranks. The second result is
// false if it is not among them.
func (p *Placement) Rank(id bbtfleet.EndpointID, host bbtfleet.HostID) (int, bool) {
	i := slices.Index(p.Ranks(id), host)
	return i, i >= 0
}

// HomeHosts returns the live hosts with the highest scores for the client
// account, at most homesPerAccount. The limiter of core/bbtlimit uses the same
// scores, but ranks only the hosts that it can reach and takes as many as the
// account's rates need.
func (p *Placement) HomeHosts(id bbtfleet.AccountID) []bbtfleet.HostID {
	best := newRanking(homesPerAccount)
	hash := accountHash(id)
	for _, h := range p.hosts {
		best.offer(h, h.score(hash))
	}
	return best.ids()
}

// KeyHome returns the host that issues tickets for an idempotency key of the
// client account. A ticket names the only process that may run the request. The
// second result is false if there is none.
func (p *Placement) KeyHome(id bbtfleet.AccountID, key string) (bbtfleet.HostID, bool) {
	best := newRanking(1)
	hash := keyHash(id, key)
	for _, h := range p.hosts {
		best.offer(h, h.score(hash))
	}
	if len(best.entries) == 0 {
		return "", false
	}
	return best.ids()[0], true
}

// Addresses returns the addresses that a caller of the client account is given,
// the account's home hosts first. Hosts in zones that are out of service are
// not included.
func (p *Placement) Addresses(id bbtfleet.AccountID) []string {
	best := newRanking(addressesPerCaller)
	hash := accountHash(id)
	for _, h := range p.hosts {
		if !p.zoneOutOfService(h.host.Zone()) {
			best.offer(h, h.score(hash))
		}
	}
	return best.addrs()
}

// computeRanks computes the ranks of an endpoint in the zone: hosts of the
// zone, then of its region if the zone has too few, then of any region.
func (p *Placement) computeRanks(id bbtfleet.EndpointID, zone bbtfleet.ZoneID) []bbtfleet.HostID {
	hash := endpointHash(id)
	ranks := p.best(p.zones[zone], hash, nil)
	if len(ranks) < MaxRanks {
		ranks = p.best(p.regions[p.regionOf(zone)], hash, ranks)
	}
	if len(ranks) < MaxRanks {
		ranks = p.best(p.hosts, hash, ranks)
	}
	return ranks
}

// best appends the hosts with the highest scores for the hash until there are
// MaxRanks ranks.
func (p *Placement) best(hosts []hashedHost, hash uint64, ranks []bbtfleet.HostID) []bbtfleet.HostID {
	best := newRanking(MaxRanks - len(ranks))
	for _, h := range hosts {
		if !slices.Contains(ranks, h.host.ID()) {
			best.offer(h, h.score(hash))
		}
	}
	return append(ranks, best.ids()...)
}

// regionOf returns the zone's region.
func (p *Placement) regionOf(id bbtfleet.ZoneID) string {
	z, _ := p.config.Zone(id)
	return z.Region()
}

// zoneOutOfService reports whether operators have taken the zone out of
// service.
func (p *Placement) zoneOutOfService(id bbtfleet.ZoneID) bool {
	z, _ := p.config.Zone(id)
	return z.OutOfService()
}
