package bbtsettings

import (
	"strings"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
	"bluebelltray/core/bbtunit"
)

// wantSeeds describes a valid list of seeds in error messages.
const wantSeeds = "hosts and their peer addresses, such as entry-1@10.0.0.1:7443, entry-2@10.0.0.2:7443"

// WithSeeds sets the hosts that a starting host contacts while it cannot read the
// host list.
func WithSeeds(hosts ...bbtfleet.Host) Option {
	return func(s *Settings) { s.seeds = hosts }
}

// Seeds returns the hosts that a starting host contacts while it cannot read the
// host list, with their peer addresses. The slice must not be modified.
func (s *Settings) Seeds() []bbtfleet.Host { return s.seeds }

// parseSeeds parses a comma-separated list of host@IP:port.
func parseSeeds(text string) ([]bbtfleet.Host, error) {
	var seeds []bbtfleet.Host
	for _, item := range strings.Split(text, ",") {
		id, addr, ok := strings.Cut(strings.TrimSpace(item), "@")
		if !ok {
			return nil, bbtunit.NewError(text, "is not a list of seeds", wantSeeds)
		}
		name, err := bbtini.ParseName(id)
		if err != nil {
			return nil, err
		}
		peer, err := bbtunit.ParseAddr(addr)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, bbtfleet.NewHost(bbtfleet.HostID(name), "", bbtfleet.WithPeerAddr(peer)))
	}
	return seeds, nil
}
