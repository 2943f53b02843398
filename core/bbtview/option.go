package bbtview

import "bluebelltray/core/bbtfleet"

// DefaultReadShare is the rate of reads and watches of the platform, in calls a
// second, that all hosts together keep to.
const DefaultReadShare = 500

// Option sets a part of a Keeper.
type Option func(*Keeper)

// WithParsers sets the functions that read a manifest and a configuration.
func WithParsers(m ParseManifest, p Parse) Option {
	return func(k *Keeper) {
		k.parseManifest = m
		k.parse = p
	}
}

// WithSeeds sets hosts to ask at the start, while no host list has been read.
func WithSeeds(hosts ...bbtfleet.HostID) Option {
	return func(k *Keeper) { k.seeds = hosts }
}

// WithReadShare sets the rate of reads and watches of the platform, in calls a
// second, that all hosts together keep to.
func WithReadShare(perSecond float64) Option {
	return func(k *Keeper) { k.share = perSecond }
}
