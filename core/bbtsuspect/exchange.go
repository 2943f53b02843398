package bbtsuspect

import (
	"maps"
	"slices"
	"time"
)

// handleMessage handles a message from a peer.
func (a *Agent) handleMessage(now time.Time, ev MessageReceived) {
	switch m := ev.Message.(type) {
	case Claim:
		a.send(ev.From, a.decide(now, m))
	case ClaimResponse:
		a.handleClaimResponse(now, ev, m)
	case Release:
		a.coordinator.Release(now, m)
	case Notice:
		a.suspects.Merge(now, m)
	}
}

// handleClaimResponse handles the answer of a coordinator unless it is late,
// duplicated or meant for an earlier process of this host. If it admits a call
// but is late or meant for an earlier process, the claim is released.
func (a *Agent) handleClaimResponse(now time.Time, ev MessageReceived, r ClaimResponse) {
	id := CallID(r.Attempt.ID)
	c := a.calls[id]
	if r.Attempt == a.attempt(id) && c != nil && c.to == ev.From && c.dispatchMode == Hold {
		a.applyDecision(now, id, r.DispatchMode)
		return
	}
	admitted := r.DispatchMode == Free || r.DispatchMode == Isolated
	if admitted && (r.Attempt != a.attempt(id) || c == nil || c.to != ev.From) {
		a.send(ev.From, Release{Fingerprint: r.Fingerprint, Attempt: r.Attempt})
	}
}

// handleUnreachable removes a host from the candidates for coordinator or adds
// it again.
func (a *Agent) handleUnreachable(now time.Time, ev HostUnreachable) {
	if ev.Unreachable == a.hosts.unreachable[ev.Host] || ev.Host == a.self {
		return
	}
	if ev.Unreachable {
		a.hosts.unreachable[ev.Host] = true
	} else {
		delete(a.hosts.unreachable, ev.Host)
	}
	a.updateHosts(now)
}

// updateHosts handles a change of the host set: it sends known crashes to the
// current coordinators, and asks the new coordinator to admit a call that is not
// admitted yet and whose coordinator has changed.
func (a *Agent) updateHosts(now time.Time) {
	for h := range a.hosts.unreachable {
		if !slices.Contains(a.hosts.listed, h) {
			delete(a.hosts.unreachable, h)
		}
	}
	a.hosts.update(now)
	for _, n := range a.suspects.Notices(now) {
		coordinator := a.hosts.coordinator(n.Fingerprint)
		a.notify(coordinator, n)
	}
	for _, id := range slices.Sorted(maps.Keys(a.calls)) {
		c := a.calls[id]
		if coordinator := a.hosts.coordinator(c.fingerprint); c.dispatchMode == Hold && coordinator != c.to {
			a.requestClaim(now, id)
		}
	}
}

// tick expires suspects and asks the coordinator again to admit the calls that
// it held or did not answer for.
func (a *Agent) tick(now time.Time) {
	a.suspects.Expire(now)
	for _, id := range slices.Sorted(maps.Keys(a.calls)) {
		c := a.calls[id]
		if c.dispatchMode == Hold && now.Sub(c.claimedAt) >= ClaimResponseTimeout {
			a.requestClaim(now, id)
		}
	}
}
