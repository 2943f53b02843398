package bbtview

import "time"

// TickInterval is the longest time between calls of Tick.
const TickInterval = 200 * time.Millisecond

// pausePeers is the number of peers asked after a pause.
const pausePeers = 2

// Tick does what is due at now.
func (k *View) Tick(now time.Time) []Action {
	var actions []Action
	if !k.starting.done && !now.Before(k.starting.next) {
		actions = append(actions, k.askAtStart(now)...)
	}
	actions = append(actions, k.finishStart(now)...)
	actions = append(actions, k.readDue(now)...)
	if !k.tell {
		return actions
	}
	k.tell = false
	for _, id := range k.neighbours {
		actions = append(actions, SendDigest{To: id, Digest: k.Digest(now)})
	}
	return actions
}

// Paused says that the process did not run for a while until now. Nothing
// learned before makes the view fresh any more.
func (k *View) Paused(now time.Time) []Action {
	k.counters.pauses++
	k.fresh.reset(now)
	k.asking = asking{}
	k.reading.part = ""
	var actions []Action
	if k.mayRead(now) {
		actions = append(actions, ReadManifest{})
	}
	peers := k.neighbours
	for i, j := range k.rng.Perm(len(peers)) {
		if i < pausePeers {
			q := Query{Digest: k.Digest(now), DigestOnly: true}
			actions = append(actions, SendQuery{To: peers[j], Query: q})
		}
	}
	return actions
}
