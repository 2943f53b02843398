// Package bbtcatalog holds the configuration, endpoints and availability zones
// that the platform publishes and decides which state of them is in force.
package bbtcatalog

import (
	"strings"
	"time"
)

// Config is one published version of routes, services, client accounts and
// request limits. It must not be modified once it is in use.
type Config struct {
	Version    int64     `cbor:"1,keyasint"`
	Routes     []Route   `cbor:"2,keyasint"`
	Services   []Service `cbor:"3,keyasint"`
	Accounts   []Account `cbor:"4,keyasint,omitempty"`
	RequireKey bool      `cbor:"5,keyasint,omitempty"` // requests need an API key unless their route is public
	Limits     Limits    `cbor:"6,keyasint"`
}

// Limits bounds the size of callers' requests and the time to receive them. The
// timeouts are published but not enforced: bbtapp sets fixed ones.
type Limits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint"`
	MaxBodyBytes   int64         `cbor:"2,keyasint"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint"`
	IdleTimeout    time.Duration `cbor:"4,keyasint"`
}

// Index looks up the routes, services and accounts of a Config.
type Index struct {
	config        *Config
	routes        map[string][]*Route // by domain
	services      map[string]*Service
	accounts      map[string]*Account
	accountsByKey map[string]*Account
}

// NewIndex returns the index of a configuration. The index of a nil Config is
// empty.
func NewIndex(c *Config) *Index {
	ix := &Index{
		config:        c,
		routes:        make(map[string][]*Route),
		services:      make(map[string]*Service),
		accounts:      make(map[string]*Account),
		accountsByKey: make(map[string]*Account),
	}
	if c == nil {
		return ix
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		ix.routes[r.Domain] = append(ix.routes[r.Domain], r)
	}
	for i := range c.Services {
		ix.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		ix.accounts[a.Name] = a
		for _, k := range a.Keys {
			ix.accountsByKey[k] = a
		}
	}
	return ix
}

// Config returns the indexed configuration, nil if there is none.
func (ix *Index) Config() *Config { return ix.config }

// Version returns the configuration's version, 0 if there is none.
func (ix *Index) Version() int64 {
	if ix.config == nil {
		return 0
	}
	return ix.config.Version
}

// Route returns the route of a domain with the longest prefix that matches the
// path, nil if there is none.
func (ix *Index) Route(domain, path string) *Route {
	var best *Route
	for _, r := range ix.routes[domain] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Service returns the service with the given name, nil if there is none.
func (ix *Index) Service(name string) *Service { return ix.services[name] }

// Account returns the client account with the given name, nil if there is none.
func (ix *Index) Account(name string) *Account { return ix.accounts[name] }

// AccountByKey returns the client account that an API key belongs to, nil if
// there is none.
func (ix *Index) AccountByKey(key string) *Account { return ix.accountsByKey[key] }
