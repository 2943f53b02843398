package bbtedge

import (
	"slices"
	"time"

	"bluebelltray/core/bbtcatalog"
	"go.uber.org/zap"
)

// endpoints returns the published endpoints but for those at an address of a host
// or of the platform's store, where no server can be: a request sent there would
// come back, and the answer would not be a server's.
func (e *Edge) endpoints(now time.Time) []bbtcatalog.ListedEndpoint {
	s := &e.settings
	taken := map[string]bool{s.ListenAddr: true, s.Ready: true, s.Directory: true, s.MetricsAddr: true, s.Platform: true}
	for _, h := range e.hosts {
		taken[h.CallerAddr()] = true
	}
	all := e.catalog.Endpoints(now)
	n := len(all)
	all = slices.DeleteFunc(all, func(l bbtcatalog.ListedEndpoint) bool { return taken[l.Endpoint.Address] })
	if excluded := n - len(all); excluded != e.excludedEndpoints {
		e.excludedEndpoints = excluded
		e.counters.Set("endpoints-excluded", int64(excluded))
		e.log.Warn("endpoints at addresses of hosts are not used", zap.Int("endpoints", excluded))
	}
	return all
}
