package bbtview

import "bluebelltray/core/bbtfleet"

// DefaultFleetReadRate is the default of WithFleetReadRate, in calls a second.
const DefaultFleetReadRate = 500

// Option configures a View.
type Option func(*View)

// WithParsers sets the functions that parse a manifest and a configuration.
func WithParsers(m ParseManifest, p ParseConfiguration) Option {
	return func(v *View) {
		v.parseManifest = m
		v.parseConfiguration = p
	}
}

// WithSeeds sets the hosts to query at the start, while the host list has no
// other host.
func WithSeeds(hosts ...bbtfleet.HostID) Option {
	return func(v *View) { v.seeds = hosts }
}

// WithFleetReadRate sets the maximum rate of reads and watches of the platform
// by all hosts together, in calls a second.
func WithFleetReadRate(perSecond float64) Option {
	return func(v *View) { v.fleetReadRate = perSecond }
}
