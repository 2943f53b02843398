package bbtowner

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Periods of the rights of an endpoint's ranks.
const (
	// MaxPermitLifetime is the longest life of what a host grants under a right.
	MaxPermitLifetime = time.Second

	// YieldPeriod is how long the answer to a probe proves that a worse rank
	// leaves the endpoint alone, from the sending of the probe.
	YieldPeriod = 3 * time.Second

	// TakeoverDelay is how long a worse rank leaves the endpoint alone after it heard
	// from a better one. It exceeds YieldFor by the life of a permit and a
	// margin for clocks that run apart.
	TakeoverDelay = YieldPeriod + MaxPermitLifetime + 500*time.Millisecond
)

// Contact is what a host knows of another one from their own exchange.
type Contact struct {
	lastHeard time.Time
	lastAcked time.Time
	since     time.Time
	sameList  bool
	leaving   bool
}

// NewContact returns the contact with a host from which the last message came
// at heard, and which answered a probe sent at acked. Same says that it had
// the same host list then; gone, that it said it leaves.
func NewContact(lastHeard, lastAcked time.Time, sameList, leaving bool) Contact {
	return Contact{lastHeard: lastHeard, lastAcked: lastAcked, sameList: sameList, leaving: leaving}
}

// AnsweringSince returns the contact of a host that has answered probes since the
// given time, each within YieldFor after the sending of one answered before.
func (c Contact) AnsweringSince(since time.Time) Contact {
	c.since = since
	return c
}

// Contacts returns the contact with a host.
type Contacts func(bbtfleet.HostID) Contact

// Right returns how many of an endpoint's slots the host self may fill at now,
// under a placement that it has had since the given time.
//
// Each rank has a share of the slots. A rank has no right while it hears from
// a better one; otherwise it has its own share. The best rank that has not
// left also has the shares of those that left, and of the worse ones that
// answered its probes lately and so leave the endpoint alone. No two hosts'
// rights add up to more than the slots, whatever they believe of each other,
// and no rank needs an answer to have its own share.
func (m *Map) Right(now, since time.Time, self bbtfleet.HostID, e bbtfleet.Endpoint, contacts Contacts) int {
	ranks := m.Ranks(e.ID())
	rank := slices.Index(ranks, self)
	if rank < 0 || betterRankHeard(now, since, ranks[:rank], contacts) {
		return 0
	}
	right := slotShare(e.Slots(), len(ranks), rank)
	if !allLeft(now, ranks[:rank], contacts) {
		return right
	}
	for i, host := range ranks {
		if i != rank && yields(now, contacts(host)) {
			right += slotShare(e.Slots(), len(ranks), i)
		}
	}
	return right
}

// allLeft reports whether all hosts have left.
func allLeft(now time.Time, hosts []bbtfleet.HostID, contacts Contacts) bool {
	for _, host := range hosts {
		if !contacts(host).left(now) {
			return false
		}
	}
	return true
}

// betterRankHeard reports whether one of the better ranks may use the endpoint: it
// was heard, or the host has not listened for long enough.
func betterRankHeard(now, since time.Time, better []bbtfleet.HostID, contacts Contacts) bool {
	for _, host := range better {
		c := contacts(host)
		if c.leaving {
			continue
		}
		if now.Sub(since) < TakeoverDelay || now.Sub(c.lastHeard) < TakeoverDelay {
			return true
		}
	}
	return false
}

// yields reports whether a rank leaves its share to the best one.
func yields(now time.Time, c Contact) bool {
	return c.left(now) || c.sameList && c.answers(now)
}

// answers reports whether the host answers and what it granted before has run
// out.
func (c Contact) answers(now time.Time) bool {
	return now.Sub(c.lastAcked) < YieldPeriod && now.Sub(c.since) >= MaxPermitLifetime
}

// left reports whether the host has left and, as its former process has just
// answered, no new process of it uses the endpoint yet.
func (c Contact) left(now time.Time) bool { return c.leaving && c.answers(now) }

// slotShare returns the part of the slots that belongs to a rank. The shares of
// all ranks add up to the slots, the better ranks' being the larger ones.
func slotShare(slots, ranks, rank int) int { return (slots + ranks - 1 - rank) / ranks }
