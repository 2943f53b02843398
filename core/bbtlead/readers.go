package bbtlead

import (
	"cmp"
	"time"
)

const (
	// PlatformReaders is how many hosts read from the platform in a large fleet. The
	// other hosts receive updates from peers.
	PlatformReaders = 4
	largeFleetPeers = 12 // minimum number of peers of a host in a large fleet
	// staleFraction is the fraction of bbtcatalog.Bounds.ApplyTime after which a host
	// reads from the platform itself because its view is stale and no peer's view is
	// newer.
	staleFraction = 0.75
	// defaultMaxViewAge is the age above which a view is stale if
	// bbtcatalog.Bounds.ApplyTime is not set.
	defaultMaxViewAge = 4 * time.Second
)

// SmallFleet reports whether a host with the given number of peers is in a fleet
// small enough that every host reads from the platform.
func SmallFleet(peers int) bool { return peers < largeFleetPeers }

// ReadsPlatform reports whether this host reads from the platform. In a small fleet
// every host does. In a larger one the hosts that have run longest do, as does any
// host whose view is too old to apply changes within applyTime.
func (e *Election) ReadsPlatform(peers int, viewAge, applyTime time.Duration) bool {
	maxAge := defaultMaxViewAge
	if applyTime > 0 {
		maxAge = time.Duration(staleFraction * float64(applyTime))
	}
	if SmallFleet(peers) || viewAge > maxAge {
		return true
	}
	older := 0
	for _, h := range e.livePeers {
		if cmp.Or(cmp.Compare(h.Incarnation, e.self.Incarnation), cmp.Compare(h.ID, e.self.ID)) < 0 {
			older++
		}
	}
	return older < PlatformReaders
}
