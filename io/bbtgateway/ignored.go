package bbtgateway

import (
	"sync"

	"go.uber.org/zap"
)

// maxIgnoredKeys bounds how many endpoints and headers an ignoredHeaders remembers.
const maxIgnoredKeys = 4096

// ignoredHeaders remembers for which endpoints it was logged that a header of their
// answers is not understood.
type ignoredHeaders struct {
	mu   sync.Mutex
	seen map[ignoredHeader]bool
}

// ignoredHeader is a header of the answers of an endpoint.
type ignoredHeader struct{ endpoint, name string }

// isNew reports whether a header is ignored for the first time, and false if too many
// are remembered.
func (i *ignoredHeaders) isNew(h ignoredHeader) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.seen[h] || len(i.seen) >= maxIgnoredKeys {
		return false
	}
	if i.seen == nil {
		i.seen = make(map[ignoredHeader]bool)
	}
	i.seen[h] = true
	return true
}

// countIgnored counts the headers of a response that are not understood, and logs each
// once for an endpoint.
func (a *attempt) countIgnored() {
	g := a.exchange.gateway
	for _, name := range a.responseHead.Ignored {
		g.counters.Add("endpoint-headers-ignored", 1)
		if g.ignored.isNew(ignoredHeader{a.dispatch.Endpoint, name}) {
			g.log.Warn("header of an endpoint ignored", zap.String("endpoint", a.dispatch.Endpoint), zap.String("header", name))
		}
	}
}
