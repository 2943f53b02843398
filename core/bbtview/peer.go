package bbtview

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// askTimeout is the time after which another peer is asked.
const askTimeout = time.Second

// asking holds the question to a peer that has no answer yet.
type asking struct {
	to    bbtfleet.HostID
	since time.Time
}

// ReceiveDigest takes a peer's view. Asked is the local time at which the question
// was sent that it answers, zero if it answers none; only answers make the view
// fresh.
func (k *View) ReceiveDigest(now, asked time.Time, from bbtfleet.HostID, d Digest) []Action {
	if k.lacks(d) {
		return k.ask(now, from)
	}
	if !asked.IsZero() {
		k.agree(asked, d)
	}
	return nil
}

// ReceiveQuery answers a peer's question.
func (k *View) ReceiveQuery(now time.Time, from bbtfleet.HostID, q Query) []Action {
	t := Reply{Digest: k.Digest(now)}
	if !q.DigestOnly {
		t.Hosts = k.hosts.delta(bbtfleet.Revision(q.Digest.Hosts))
	}
	switch {
	case q.DigestOnly:
	case k.force.version.Newer(q.Digest.Version()):
		t.Manifest = k.force.manifest
		t.Parts = k.force.lacking(q.HeldParts)
	case k.refused.version.Newer(q.Digest.Version()) && k.refused.version.Newer(q.Digest.RefusedVersion()):
		t.Manifest = k.refused.manifest
		t.Parts = k.refused.lacking(q.HeldParts)
	}
	return append([]Action{SendReply{To: from, Reply: t}}, k.ReceiveDigest(now, time.Time{}, from, q.Digest)...)
}

// ReceiveReply takes the answer to a question that was sent at asked.
func (k *View) ReceiveReply(now, asked time.Time, from bbtfleet.HostID, t Reply) []Action {
	if k.asking.to == from {
		k.asking = asking{}
	}
	actions := k.takeTransfer(now, t)
	k.starting.answered(from, t.Digest)
	if k.lacks(t.Digest) {
		actions = append(actions, k.ask(now, from)...)
	} else {
		k.agree(asked, t.Digest)
	}
	return append(actions, k.finishStart(now)...)
}

// takeTransfer takes what a peer sends of its view.
func (k *View) takeTransfer(now time.Time, t Reply) []Action {
	var actions []Action
	if t.Hosts != nil {
		if l, ok := k.hosts.apply(t.Hosts); ok {
			actions = k.takeHosts(now, l)
		}
	}
	if len(t.Manifest) == 0 {
		return actions
	}
	m, err := k.parseManifest(t.Manifest)
	if err != nil {
		return append(actions, k.refuseManifest(t.Manifest, err)...)
	}
	m = m.complete(t.Manifest)
	if !k.wanted(m.Version()) {
		return actions
	}
	c := k.collect(m, t.Manifest)
	for _, packed := range t.Parts {
		data, err := unpack(packed)
		if err != nil {
			k.counters.mismatches++
			continue
		}
		digest := Hash(data)
		c.fill(func(d uint64) ([]byte, bool) { return data, d == digest })
		c.packed[digest] = packed
	}
	if !c.whole() {
		return actions
	}
	return append(actions, k.judge(now, c)...)
}

// lacks reports whether a peer with the digest knows something newer.
func (k *View) lacks(d Digest) bool {
	if d.Version().Newer(k.force.version) && d.Version() != k.refused.version {
		return true
	}
	if bbtfleet.Revision(d.Hosts) > k.Hosts().Revision() {
		return true
	}
	return k.wanted(d.RefusedVersion()) && d.RefusedVersion().Newer(k.refused.version)
}

// agree notes that a peer asked at the given time knows nothing newer.
func (k *View) agree(asked time.Time, d Digest) {
	k.fresh.peer(asked)
	if d.Version() == k.force.version {
		k.fresh.through(asked, d.Age)
	}
	if v := d.Version(); v.Revision() == k.force.version.Revision() && v != k.force.version {
		k.counters.conflicts++
	}
}

// ask asks the peer for what it has newer, unless a question is open.
func (k *View) ask(now time.Time, to bbtfleet.HostID) []Action {
	if k.asking.to != "" && now.Sub(k.asking.since) < askTimeout {
		return nil
	}
	k.asking = asking{to: to, since: now}
	return []Action{SendQuery{To: to, Query: k.question(now)}}
}

// question returns the question for what the host lacks.
func (k *View) question(now time.Time) Query {
	q := Query{Digest: k.Digest(now), HeldParts: k.force.digests}
	if k.candidate == nil {
		return q
	}
	q.HeldParts = append([]uint64(nil), q.HeldParts...)
	for _, p := range k.candidate.manifest.Parts() {
		if _, ok := k.candidate.parts[p.Digest()]; ok {
			q.HeldParts = append(q.HeldParts, p.Digest())
		}
	}
	return q
}

// others returns the hosts of the host list but this one.
func (k *View) others() []bbtfleet.HostID {
	var out []bbtfleet.HostID
	for _, h := range k.Hosts().Hosts() {
		if h.ID() != k.self {
			out = append(out, h.ID())
		}
	}
	return out
}
