package bbtview

import "bluebelltray/core/bbtfleet"

// DefaultFleetReadRate is the rate of reads and watches of the platform, in calls a
// second, that all hosts together keep to.
const DefaultFleetReadRate = 500

// Option sets a part of a Keeper.
type Option func(*View)

// WithParsers sets the functions that read a manifest and a configuration.
func WithParsers(m ParseManifest, p ParseConfiguration) Option {
	return func(k *View) {
		k.parseManifest = m
		k.parse = p
	}
}

// WithSeeds sets hosts to ask at the start, while no host list has been read.
func WithSeeds(hosts ...bbtfleet.HostID) Option {
	return func(k *View) { k.seeds = hosts }
}

// WithFleetReadRate sets the rate of reads and watches of the platform, in calls a
// second, that all hosts together keep to.
func WithFleetReadRate(perSecond float64) Option {
	return func(k *View) { k.share = perSecond }
}
