package bbtowner

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Periods that bound the rights of an endpoint's ranks.
const (
	// MaxPermitLifetime is the maximum lifetime of a permit that a host grants
	// under a right.
	MaxPermitLifetime = time.Second

	// YieldPeriod is how long a worse rank that answers a probe is certain not
	// to use the endpoint, counted from the sending of the probe.
	YieldPeriod = 3 * time.Second

	// TakeoverDelay is how long a worse rank does not use the endpoint after it
	// last heard from a better one. It exceeds YieldPeriod by the lifetime of a
	// permit and a margin for clocks that run at different rates.
	TakeoverDelay = YieldPeriod + MaxPermitLifetime + 500*time.Millisecond
)

// Contact is what a host knows of another host from messages exchanged directly
// between them.
type Contact struct {
	lastHeard         time.Time // arrival of the last message
	lastAnsweredProbe time.Time // when the last answered probe was sent
	answeringSince    time.Time // start of the current uninterrupted series of answered probes
	sameList          bool      // had the same host list as this host
	leaving           bool      // announced that it leaves
}

// NewContact returns the contact with a host whose last message arrived at
// lastHeard. The last probe that it answered was sent at lastAnsweredProbe. The
// flag sameList is set if it then had the same host list as this host, and
// leaving if it announced that it leaves.
func NewContact(lastHeard, lastAnsweredProbe time.Time, sameList, leaving bool) Contact {
	return Contact{lastHeard: lastHeard, lastAnsweredProbe: lastAnsweredProbe, sameList: sameList, leaving: leaving}
}

// AnsweringSince returns a copy of the contact in which the start of the current
// series of answered probes is set to the given time. In a series, each answer
// arrived less than YieldPeriod after the previously answered probe was sent.
func (c Contact) AnsweringSince(answeringSince time.Time) Contact {
	c.answeringSince = answeringSince
	return c
}

// Contacts returns the contact with the given host.
type Contacts func(bbtfleet.HostID) Contact

// Right returns how many of an endpoint's slots the host self may fill at now,
// if it has listened to the other hosts since listeningSince.
//
// Each rank has a share of the slots. A rank has no right while it hears from a
// better one; otherwise it has at least its own share. The best rank that has
// not given up the endpoint also has the shares of the ranks that have given it
// up, and of the worse ranks that have recently answered its probes and
// therefore do not use the endpoint. The rights of all hosts never add up to
// more than the slots, whatever state the hosts assume of each other, and no
// rank needs an answer to use its own share.
func (p *Placement) Right(now, listeningSince time.Time, self bbtfleet.HostID, e bbtfleet.Endpoint, contacts Contacts) int {
	ranks := p.Ranks(e.ID())
	rank := slices.Index(ranks, self)
	if rank < 0 || betterRankHeard(now, listeningSince, ranks[:rank], contacts) {
		return 0
	}
	right := slotShare(e.Slots(), len(ranks), rank)
	if !allGaveUpEndpoints(now, ranks[:rank], contacts) {
		return right
	}
	for i, host := range ranks {
		if i != rank && yields(now, contacts(host)) {
			right += slotShare(e.Slots(), len(ranks), i)
		}
	}
	return right
}

// allGaveUpEndpoints reports whether all hosts have given up their endpoints.
func allGaveUpEndpoints(now time.Time, hosts []bbtfleet.HostID, contacts Contacts) bool {
	for _, host := range hosts {
		if !contacts(host).gaveUpEndpoints(now) {
			return false
		}
	}
	return true
}

// betterRankHeard reports whether one of the better ranks may use the endpoint:
// it is not leaving, and it was heard within TakeoverDelay or this host has not
// listened for that long.
func betterRankHeard(now, listeningSince time.Time, better []bbtfleet.HostID, contacts Contacts) bool {
	for _, host := range better {
		c := contacts(host)
		if c.leaving {
			continue
		}
		if now.Sub(listeningSince) < TakeoverDelay || now.Sub(c.lastHeard) < TakeoverDelay {
			return true
		}
	}
	return false
}

// yields reports whether the rank's share of the slots goes to the best rank.
func yields(now time.Time, c Contact) bool {
	return c.gaveUpEndpoints(now) || c.sameList && c.answers(now)
}

// answers reports whether the host answers probes and the permits it granted
// before it began to answer have expired.
func (c Contact) answers(now time.Time) bool {
	return now.Sub(c.lastAnsweredProbe) < YieldPeriod && now.Sub(c.answeringSince) >= MaxPermitLifetime
}

// gaveUpEndpoints reports whether the host no longer uses endpoints: it
// announced that it leaves, and its process still answers. A host that does not
// answer may have been restarted, and its new process may use endpoints.
func (c Contact) gaveUpEndpoints(now time.Time) bool { return c.leaving && c.answers(now) }

// slotShare returns the number of slots that belong to a rank. The shares of
// all ranks add up to the slots; better ranks have the larger shares.
func slotShare(slots, ranks, rank int) int { return (slots + ranks - 1 - rank) / ranks }
