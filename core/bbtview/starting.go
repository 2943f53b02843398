package bbtview

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

const (
	startPeers         = 3               // peers to query, and answers to await, before serving
	startRetryInterval = time.Second     // after which randomly chosen peers are queried again
	startTimeout       = 5 * time.Second // after which the host serves without enough answers
	firstReaderDelay   = time.Second     // after which the first reader of a zone reads the manifest
	readerStagger      = 2 * time.Second // between the reads of two readers of a zone
	nonReaderDelay     = 8 * time.Second // after which other hosts read the manifest
)

// startup is the state of a host that does not serve yet.
type startup struct {
	startedAt time.Time
	nextQuery time.Time                            // when peers are queried again
	readAt    time.Time                            // when the host first reads the manifest itself
	answers   map[bbtfleet.HostID]bbtfleet.Version // active versions of the peers that have answered
	ready     bool
}

// recordAnswer records the version in the digest of a peer's view.
func (s *startup) recordAnswer(from bbtfleet.HostID, d Digest) {
	if !s.ready && s.answers != nil {
		s.answers[from] = d.Version()
	}
}

// newestVersion returns the newest version that is active on a peer.
func (s *startup) newestVersion() bbtfleet.Version {
	var best bbtfleet.Version
	for _, v := range s.answers {
		if v.Newer(best) {
			best = v
		}
	}
	return best
}

// Start begins to build the view.
func (v *View) Start(now time.Time) []Action {
	v.startup.startedAt = now
	v.startup.answers = make(map[bbtfleet.HostID]bbtfleet.Version)
	v.fresh.reset(now)
	v.allowRead(now)
	v.readState.nextHostListRead = now.Add(v.jitter(minHostListInterval))
	return append([]Action{ReadHostList{}}, v.startupQueries(now)...)
}

// startupQueries queries some peers for the digest of their view.
func (v *View) startupQueries(now time.Time) []Action {
	if v.startup.ready {
		return nil
	}
	peers := v.otherHosts()
	if len(peers) == 0 {
		peers = v.seeds
	}
	var actions []Action
	for _, i := range v.rng.Perm(len(peers)) {
		if len(actions) < startPeers && peers[i] != v.self {
			q := Query{Digest: v.Digest(now), DigestOnly: true}
			actions = append(actions, SendQuery{To: peers[i], Query: q})
		}
	}
	v.startup.nextQuery = now.Add(startRetryInterval)
	return actions
}

// startupReadDue reports whether a host without a configuration has to read the
// manifest itself. The readers of a zone do so one after another, other hosts
// last.
func (v *View) startupReadDue(now time.Time) bool {
	if v.config != nil || v.Hosts().Revision() == 0 && now.Sub(v.startup.startedAt) < nonReaderDelay {
		return false
	}
	if v.startup.readAt.IsZero() {
		v.startup.readAt = v.startup.startedAt.Add(v.startupReadDelay())
	}
	return !now.Before(v.startup.readAt)
}

// startupReadDelay returns the time from the start to the host's own first read
// of the manifest.
func (v *View) startupReadDelay() time.Duration {
	if v.isReader() {
		return firstReaderDelay + time.Duration(v.readState.zoneRank)*readerStagger
	}
	spread := float64(len(v.Hosts().Hosts())) / (v.fleetReadRate / 2)
	return nonReaderDelay + time.Duration(v.rng.Float64()*spread*float64(time.Second))
}

// checkReady returns a Serve once a configuration and a host list are active and
// enough peers have answered with nothing newer. It waits for the peers no
// longer than startTimeout.
func (v *View) checkReady(now time.Time) []Action {
	s := &v.startup
	if s.ready || v.config == nil || v.Hosts().Revision() == 0 {
		return nil
	}
	timedOut := now.Sub(s.startedAt) >= startTimeout
	if len(s.answers) < min(startPeers, len(v.otherHosts())) && !timedOut {
		return nil
	}
	if v.applicable(s.newestVersion()) && !timedOut {
		return nil
	}
	s.ready = true
	s.answers = nil
	return []Action{Serve{}}
}
