package bbtview

import (
	"math/rand/v2"
	"time"

	"bluebelltray/core/bbtfleet"
)

// View holds the active configuration and host list of one host. Neither is ever
// replaced by an older one. It is not safe for concurrent use.
type View struct {
	self               bbtfleet.HostID
	zone               bbtfleet.ZoneID
	rng                *rand.Rand
	parseManifest      ParseManifest
	parseConfiguration ParseConfiguration
	seeds              []bbtfleet.HostID
	fleetReadRate      float64

	config             *bbtfleet.Configuration
	active             snapshot // of config
	refused            snapshot // newest refused configuration, if newer than active
	refusedErr         error
	unreadableManifest uint64 // Hash of the last manifest that could not be parsed
	hostLists          history
	neighbours         []bbtfleet.HostID
	candidate          *candidate

	fresh            freshness
	readState        readState
	pendingQuery     pendingQuery
	startup          startup
	notifyNeighbours bool // the view digest must be sent to the neighbours
	counters         Counters
}

// New returns the View of a host in an availability zone.
func New(self bbtfleet.HostID, zone bbtfleet.ZoneID, rng *rand.Rand, opts ...Option) *View {
	v := &View{self: self, zone: zone, rng: rng, fleetReadRate: DefaultFleetReadRate}
	for _, opt := range opts {
		opt(v)
	}
	return v
}

// Configuration returns the active configuration, nil if there is none yet.
func (v *View) Configuration() *bbtfleet.Configuration { return v.config }

// Version returns the version of the active configuration.
func (v *View) Version() bbtfleet.Version { return v.active.version }

// Hosts returns the active host list.
func (v *View) Hosts() bbtfleet.HostList { return v.hostLists.current() }

// Refused returns the newest refused version, and why it was refused, if it is
// newer than the active one. The error is nil otherwise.
func (v *View) Refused() (bbtfleet.Version, error) { return v.refused.version, v.refusedErr }

// Counters returns the event counts since the process started.
func (v *View) Counters() Counters { return v.counters }

// Serving reports whether the view has been complete at some time since the
// start, so that the host may accept requests.
func (v *View) Serving() bool { return v.startup.ready }

// ConfirmedAt returns the last time at which the platform is known to have had
// nothing newer than the view, from a read by this host or by a peer. It is zero
// if there was no such read.
func (v *View) ConfirmedAt() time.Time { return v.fresh.confirmedAt }

// Fresh reports whether the host may act as an owner of endpoints at now. That
// is so if a peer or the platform has answered within FreshnessWindow and had
// nothing newer. After a pause it is false until such an answer arrives. A host
// that is alone in its host list needs no answer once FreshnessWindow has passed
// since the start or the last pause.
func (v *View) Fresh(now time.Time) bool {
	if !v.startup.ready {
		return false
	}
	return v.fresh.fresh(now) || v.alone() && now.Sub(v.fresh.resetAt) > FreshnessWindow
}

// Digest returns the summary of the view that is sent to peers.
func (v *View) Digest(now time.Time) Digest {
	d := Digest{
		Revision: uint64(v.active.version.Revision()),
		Content:  v.active.version.Digest(),
		Hosts:    uint64(v.Hosts().Revision()),
		Age:      v.fresh.age(now),
	}
	if v.refused.version.Newer(v.active.version) {
		d.Refused = uint64(v.refused.version.Revision())
		d.RefusedContent = v.refused.version.Digest()
	}
	return d
}

// SetNeighbours sets the hosts that a changed view is announced to at once.
func (v *View) SetNeighbours(hosts []bbtfleet.HostID) { v.neighbours = hosts }

// alone reports whether the active host list has no other host.
func (v *View) alone() bool {
	return v.Hosts().Revision() > 0 && len(v.otherHosts()) == 0
}
