package bbtview

import "time"

// TickInterval is the maximum time between calls of Tick.
const TickInterval = 200 * time.Millisecond

// pausePeers is the number of peers queried after a pause.
const pausePeers = 2

// Tick returns the queries, reads and announcements that are due at now.
func (v *View) Tick(now time.Time) []Action {
	var actions []Action
	if !v.startup.ready && !now.Before(v.startup.nextQuery) {
		actions = append(actions, v.startupQueries(now)...)
	}
	actions = append(actions, v.checkReady(now)...)
	actions = append(actions, v.dueReads(now)...)
	if !v.notifyNeighbours {
		return actions
	}
	v.notifyNeighbours = false
	for _, id := range v.neighbours {
		actions = append(actions, SendDigest{To: id, Digest: v.Digest(now)})
	}
	return actions
}

// Paused handles a pause of the local process that ended at now. Answers to
// earlier requests no longer make the view fresh.
func (v *View) Paused(now time.Time) []Action {
	v.counters.pauses++
	v.fresh.reset(now)
	v.pendingQuery = pendingQuery{}
	v.readState.partKey = ""
	var actions []Action
	if v.allowRead(now) {
		actions = append(actions, ReadManifest{})
	}
	peers := v.neighbours
	for i, j := range v.rng.Perm(len(peers)) {
		if i < pausePeers {
			q := Query{Digest: v.Digest(now), DigestOnly: true}
			actions = append(actions, SendQuery{To: peers[j], Query: q})
		}
	}
	return actions
}
