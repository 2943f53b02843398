package bbtview

import (
	"math/rand/v2"
	"time"

	"bluebelltray/core/bbtfleet"
)

// View holds the view of one host: the configuration and the host list in
// force. Neither ever gives way to an older one. It is not safe for concurrent
// use.
type View struct {
	self          bbtfleet.HostID
	zone          bbtfleet.ZoneID
	rng           *rand.Rand
	parseManifest ParseManifest
	parse         ParseConfiguration
	seeds         []bbtfleet.HostID
	share         float64

	config     *bbtfleet.Configuration
	force      snapshot // of config
	refused    snapshot // refused last, if newer than force
	refusal    error
	unreadable uint64 // Hash of the last manifest that could not be read
	hosts      history
	neighbours []bbtfleet.HostID
	candidate  *candidate

	fresh    freshness
	reading  reading
	asking   asking
	starting starting
	tell     bool // neighbours have to be told of the view
	counters Counters
}

// New returns the Keeper of a host in an availability zone.
func New(self bbtfleet.HostID, zone bbtfleet.ZoneID, rng *rand.Rand, opts ...Option) *View {
	k := &View{self: self, zone: zone, rng: rng, share: DefaultFleetReadRate}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Configuration returns the configuration in force, nil before the first.
func (k *View) Configuration() *bbtfleet.Configuration { return k.config }

// Version returns the version of the configuration in force.
func (k *View) Version() bbtfleet.Version { return k.force.version }

// Hosts returns the host list in force.
func (k *View) Hosts() bbtfleet.HostList { return k.hosts.current() }

// Refused returns the version refused last and why, if it is newer than the one
// in force; the error is nil otherwise.
func (k *View) Refused() (bbtfleet.Version, error) { return k.refused.version, k.refusal }

// Counters returns the counts since the process started.
func (k *View) Counters() Counters { return k.counters }

// Serving reports whether the view was complete at some time, so that requests
// may be taken.
func (k *View) Serving() bool { return k.starting.done }

// ConfirmedAt returns when the platform held nothing newer than the view,
// according to a read of this host or of a peer; zero if that is not known.
func (k *View) ConfirmedAt() time.Time { return k.fresh.confirmed }

// Fresh reports whether the host may act as an owner at now: within FreshFor,
// a peer or the platform has answered and knew nothing newer. It is false after
// a pause until then. A host that is alone in its list needs no peer.
func (k *View) Fresh(now time.Time) bool {
	if !k.starting.done {
		return false
	}
	return k.fresh.fresh(now) || k.alone() && now.Sub(k.fresh.since) > FreshnessWindow
}

// Digest returns what peers are told of the view.
func (k *View) Digest(now time.Time) Digest {
	d := Digest{
		Revision: uint64(k.force.version.Revision()),
		Content:  k.force.version.Digest(),
		Hosts:    uint64(k.Hosts().Revision()),
		Age:      k.fresh.age(now),
	}
	if k.refused.version.Newer(k.force.version) {
		d.Refused = uint64(k.refused.version.Revision())
		d.RefusedContent = k.refused.version.Digest()
	}
	return d
}

// SetNeighbours gives the hosts that are told of a new view at once.
func (k *View) SetNeighbours(hosts []bbtfleet.HostID) { k.neighbours = hosts }

// alone reports whether no other host is in the host list.
func (k *View) alone() bool {
	return k.Hosts().Revision() > 0 && len(k.others()) == 0
}
