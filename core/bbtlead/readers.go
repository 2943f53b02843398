package bbtlead

import "time"

const (
	// PlatformReaders is how many hosts read the platform in a fleet of smallFleet
	// other hosts and more; the others learn from peers.
	PlatformReaders = 4
	smallFleet      = 12
	// stalePart is the part of the time in which a change has to be in force
	// beyond which a host reads the platform itself, if no peer's view is fresher.
	stalePart = 0.75
	// staleDefault is that age where no such time is stated.
	staleDefault = 4 * time.Second
)

// SmallFleet reports whether all hosts of a fleet read, given how many others a host
// knows.
func SmallFleet(others int) bool { return others < smallFleet }

// ReadsPlatform reports whether this host reads the platform: all of a small fleet do,
// else those that have run longest, and any whose view is too old for the time in
// which a change has to be in force.
func (l *Election) ReadsPlatform(others int, age, apply time.Duration) bool {
	stale := staleDefault
	if apply > 0 {
		stale = time.Duration(stalePart * float64(apply))
	}
	if SmallFleet(others) || age > stale {
		return true
	}
	older := 0
	for _, h := range l.up {
		if h.Incarnation < l.self.Incarnation {
			older++
		}
	}
	return older < PlatformReaders
}
