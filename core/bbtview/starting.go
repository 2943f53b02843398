package bbtview

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

const (
	startPeers   = 3               // peers whose view is asked for before serving
	startAgain   = time.Second     // after which others are asked
	startLimit   = 5 * time.Second // after which fewer answers do
	startReader  = time.Second     // after which the first reader of a zone reads for itself
	startStagger = 2 * time.Second // from one reader of a zone to the next
	startOthers  = 8 * time.Second // after which a host that is no reader reads for itself
)

// starting holds what a host has learned before it serves.
type starting struct {
	begun   time.Time
	next    time.Time // when peers are asked again
	read    time.Time // when the host reads the manifest for itself
	answers map[bbtfleet.HostID]bbtfleet.Version
	done    bool
}

// answered records a peer's view.
func (s *starting) answered(from bbtfleet.HostID, d Digest) {
	if !s.done && s.answers != nil {
		s.answers[from] = d.Version()
	}
}

// highest returns the newest version that a peer has in force.
func (s *starting) highest() bbtfleet.Version {
	var best bbtfleet.Version
	for _, v := range s.answers {
		if v.Newer(best) {
			best = v
		}
	}
	return best
}

// Start begins the first view of the process.
func (k *View) Start(now time.Time) []Action {
	k.starting.begun = now
	k.starting.answers = make(map[bbtfleet.HostID]bbtfleet.Version)
	k.fresh.reset(now)
	k.mayRead(now)
	k.reading.nextHosts = now.Add(k.around(minHostsPeriod))
	return append([]Action{ReadHostList{}}, k.askAtStart(now)...)
}

// askAtStart asks some peers which view they have.
func (k *View) askAtStart(now time.Time) []Action {
	if k.starting.done {
		return nil
	}
	peers := k.others()
	if len(peers) == 0 {
		peers = k.seeds
	}
	var actions []Action
	for _, i := range k.rng.Perm(len(peers)) {
		if len(actions) < startPeers && peers[i] != k.self {
			q := Query{Digest: k.Digest(now), DigestOnly: true}
			actions = append(actions, SendQuery{To: peers[i], Query: q})
		}
	}
	k.starting.next = now.Add(startAgain)
	return actions
}

// startReadDue reports whether a host without a configuration reads the
// manifest itself. The readers of a zone do so one after another, others last.
func (k *View) startReadDue(now time.Time) bool {
	if k.config != nil || k.Hosts().Revision() == 0 && now.Sub(k.starting.begun) < startOthers {
		return false
	}
	if k.starting.read.IsZero() {
		k.starting.read = k.starting.begun.Add(k.startWait())
	}
	return !now.Before(k.starting.read)
}

// startWait returns the time from the start to the host's own first read.
func (k *View) startWait() time.Duration {
	if k.reader() {
		return startReader + time.Duration(k.reading.rank)*startStagger
	}
	spread := float64(len(k.Hosts().Hosts())) / (k.share / 2)
	return startOthers + time.Duration(k.rng.Float64()*spread*float64(time.Second))
}

// finishStart reports that requests may be taken once a whole view is in force
// and enough peers know none newer, or don't answer.
func (k *View) finishStart(now time.Time) []Action {
	s := &k.starting
	if s.done || k.config == nil || k.Hosts().Revision() == 0 {
		return nil
	}
	late := now.Sub(s.begun) >= startLimit
	if len(s.answers) < min(startPeers, len(k.others())) && !late {
		return nil
	}
	if k.wanted(s.highest()) && !late {
		return nil
	}
	s.done = true
	s.answers = nil
	return []Action{Serve{}}
}
