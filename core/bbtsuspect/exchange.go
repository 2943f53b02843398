package bbtsuspect

import (
	"maps"
	"slices"
	"time"
)

// received takes a peer's message.
func (a *Agent) received(now time.Time, ev MessageReceived) {
	switch m := ev.Message.(type) {
	case Claim:
		a.send(ev.From, a.decide(now, m))
	case Grant:
		a.answered(now, ev, m)
	case Release:
		a.guard.Release(now, m)
	case Notice:
		a.suspicions.Merge(now, m)
	}
}

// answered takes a guard's answer, unless it is late, doubled or for a former
// process. A late admission is handed back.
func (a *Agent) answered(now time.Time, ev MessageReceived, g Grant) {
	id := CallID(g.Attempt.ID)
	c := a.calls[id]
	if g.Attempt == a.copy(id) && c != nil && c.to == ev.From && c.treatment == Hold {
		a.granted(now, id, g.DispatchMode)
		return
	}
	admitted := g.DispatchMode == Free || g.DispatchMode == Isolated
	if admitted && (g.Attempt != a.copy(id) || c == nil || c.to != ev.From) {
		a.send(ev.From, Release{Fingerprint: g.Fingerprint, Attempt: g.Attempt})
	}
}

// unreachable takes a host out of the order of guards or back in.
func (a *Agent) unreachable(now time.Time, ev HostUnreachable) {
	if ev.Unreachable == a.places.unreachable[ev.Host] || ev.Host == a.self {
		return
	}
	if ev.Unreachable {
		a.places.unreachable[ev.Host] = true
	} else {
		delete(a.places.unreachable, ev.Host)
	}
	a.moved(now)
}

// moved follows a change of the hosts: new guards learn what this host
// suspects, and calls whose guard is gone ask the next.
func (a *Agent) moved(now time.Time) {
	for h := range a.places.unreachable {
		if !slices.Contains(a.places.listed, h) {
			delete(a.places.unreachable, h)
		}
	}
	a.places.change(now)
	for _, n := range a.suspicions.Notices(now) {
		guard := a.places.guard(n.Fingerprint)
		a.tell(guard, n)
	}
	for _, id := range slices.Sorted(maps.Keys(a.calls)) {
		c := a.calls[id]
		if guard := a.places.guard(c.print); c.treatment == Hold && guard != c.to {
			a.ask(now, id)
		}
	}
}

// tick asks again for calls that are held or whose guard did not answer.
func (a *Agent) tick(now time.Time) {
	a.suspicions.Expire(now)
	for _, id := range slices.Sorted(maps.Keys(a.calls)) {
		c := a.calls[id]
		if c.treatment == Hold && now.Sub(c.asked) >= ClaimResponseTimeout {
			a.ask(now, id)
		}
	}
}
