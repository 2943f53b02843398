package bbtfleet

import (
	"maps"
	"slices"
)

// Configuration is one accepted version of the availability zones, endpoints
// and contracts. It is immutable after NewConfiguration has returned it.
type Configuration struct {
	version   Version
	zones     map[ZoneID]Zone
	endpoints map[EndpointID]Endpoint
	contracts map[AccountID]Contract
}

// ConfigurationOption sets a part of a Configuration.
type ConfigurationOption func(*Configuration)

// WithZones sets the availability zones.
func WithZones(zones ...Zone) ConfigurationOption {
	return func(c *Configuration) {
		for _, z := range zones {
			c.zones[z.ID()] = z
		}
	}
}

// WithEndpoints sets the endpoints.
func WithEndpoints(endpoints ...Endpoint) ConfigurationOption {
	return func(c *Configuration) {
		for _, e := range endpoints {
			c.endpoints[e.ID()] = e
		}
	}
}

// WithContracts sets the contracts.
func WithContracts(contracts ...Contract) ConfigurationOption {
	return func(c *Configuration) {
		if len(c.contracts) == 0 {
			c.contracts = make(map[AccountID]Contract, len(contracts))
		}
		for _, k := range contracts {
			c.contracts[k.Account()] = k
		}
	}
}

// NewConfiguration returns a configuration with the given version.
func NewConfiguration(v Version, opts ...ConfigurationOption) *Configuration {
	c := &Configuration{
		version:   v,
		zones:     make(map[ZoneID]Zone),
		endpoints: make(map[EndpointID]Endpoint),
		contracts: make(map[AccountID]Contract),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Version returns the configuration's version.
func (c *Configuration) Version() Version { return c.version }

// Zone returns the zone with the given ID and whether it exists.
func (c *Configuration) Zone(id ZoneID) (Zone, bool) {
	z, ok := c.zones[id]
	return z, ok
}

// Endpoint returns the endpoint with the given ID and whether it exists.
func (c *Configuration) Endpoint(id EndpointID) (Endpoint, bool) {
	e, ok := c.endpoints[id]
	return e, ok
}

// Contract returns the account's contract and whether it exists.
func (c *Configuration) Contract(id AccountID) (Contract, bool) {
	k, ok := c.contracts[id]
	return k, ok
}

// Zones returns the zones sorted by ID.
func (c *Configuration) Zones() []Zone { return sortedByKey(c.zones) }

// Endpoints returns the endpoints sorted by ID.
func (c *Configuration) Endpoints() []Endpoint { return sortedByKey(c.endpoints) }

// Contracts returns the contracts sorted by account.
func (c *Configuration) Contracts() []Contract { return sortedByKey(c.contracts) }

// InService reports whether the endpoint exists and neither it nor its zone has
// been taken out of service.
func (c *Configuration) InService(id EndpointID) bool {
	e, ok := c.endpoints[id]
	return ok && !e.OutOfService() && !c.zones[e.Zone()].OutOfService()
}

// sortedByKey returns the values of m in order of their keys.
func sortedByKey[K ~string, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}
