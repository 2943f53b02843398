package bbtview

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// queryTimeout is the time after which an unanswered query no longer prevents
// the next one.
const queryTimeout = time.Second

// pendingQuery is the query that has not been answered yet.
type pendingQuery struct {
	to     bbtfleet.HostID
	sentAt time.Time
}

// ReceiveDigest handles the digest of a peer's view. If the digest came with an
// answer, requestedAt is the local time at which the request was sent; otherwise
// it is zero. Only answers make the view fresh.
func (v *View) ReceiveDigest(now, requestedAt time.Time, from bbtfleet.HostID, d Digest) []Action {
	if v.peerIsNewer(d) {
		return v.sendQuery(now, from)
	}
	if !requestedAt.IsZero() {
		v.recordAgreement(requestedAt, d)
	}
	return nil
}

// ReceiveQuery answers a peer's query.
func (v *View) ReceiveQuery(now time.Time, from bbtfleet.HostID, q Query) []Action {
	reply := Reply{Digest: v.Digest(now)}
	if !q.DigestOnly {
		reply.Hosts = v.hostLists.delta(bbtfleet.Revision(q.Digest.Hosts))
	}
	switch {
	case q.DigestOnly:
	case v.active.version.Newer(q.Digest.Version()):
		reply.Manifest = v.active.manifest
		reply.Parts = v.active.missingParts(q.HeldParts)
	case v.refused.version.Newer(q.Digest.Version()) && v.refused.version.Newer(q.Digest.RefusedVersion()):
		reply.Manifest = v.refused.manifest
		reply.Parts = v.refused.missingParts(q.HeldParts)
	}
	return append([]Action{SendReply{To: from, Reply: reply}}, v.ReceiveDigest(now, time.Time{}, from, q.Digest)...)
}

// ReceiveReply handles the reply to a query that was sent at requestedAt.
func (v *View) ReceiveReply(now, requestedAt time.Time, from bbtfleet.HostID, reply Reply) []Action {
	if v.pendingQuery.to == from {
		v.pendingQuery = pendingQuery{}
	}
	actions := v.applyReply(now, reply)
	v.startup.recordAnswer(from, reply.Digest)
	if v.peerIsNewer(reply.Digest) {
		actions = append(actions, v.sendQuery(now, from)...)
	} else {
		v.recordAgreement(requestedAt, reply.Digest)
	}
	return append(actions, v.checkReady(now)...)
}

// applyReply applies the host list and configuration of a peer's reply.
func (v *View) applyReply(now time.Time, reply Reply) []Action {
	var actions []Action
	if reply.Hosts != nil {
		if list, ok := v.hostLists.apply(reply.Hosts); ok {
			actions = v.applyHostList(now, list)
		}
	}
	if len(reply.Manifest) == 0 {
		return actions
	}
	m, err := v.parseManifest(reply.Manifest)
	if err != nil {
		return append(actions, v.refuseManifest(reply.Manifest, err)...)
	}
	m = m.withData(reply.Manifest)
	if !v.applicable(m.Version()) {
		return actions
	}
	c := v.collectParts(m, reply.Manifest)
	for _, compressed := range reply.Parts {
		data, err := decompress(compressed)
		if err != nil {
			v.counters.mismatches++
			continue
		}
		digest := Hash(data)
		c.addParts(func(d uint64) ([]byte, bool) { return data, d == digest })
		c.compressed[digest] = compressed
	}
	if !c.hasAllParts() {
		return actions
	}
	return append(actions, v.evaluate(now, c)...)
}

// peerIsNewer reports whether the peer whose view digest is d has something newer.
func (v *View) peerIsNewer(d Digest) bool {
	if d.Version().Newer(v.active.version) && d.Version() != v.refused.version {
		return true
	}
	if bbtfleet.Revision(d.Hosts) > v.Hosts().Revision() {
		return true
	}
	return v.applicable(d.RefusedVersion()) && d.RefusedVersion().Newer(v.refused.version)
}

// recordAgreement records that a peer queried at requestedAt has nothing newer.
func (v *View) recordAgreement(requestedAt time.Time, d Digest) {
	v.fresh.peerAgreed(requestedAt)
	if d.Version() == v.active.version {
		v.fresh.confirmedThroughPeer(requestedAt, d.Age)
	}
	if ver := d.Version(); ver.Revision() == v.active.version.Revision() && ver != v.active.version {
		v.counters.conflicts++
	}
}

// sendQuery asks the peer for what is newer than this host's view, unless a
// query is pending.
func (v *View) sendQuery(now time.Time, to bbtfleet.HostID) []Action {
	if v.pendingQuery.to != "" && now.Sub(v.pendingQuery.sentAt) < queryTimeout {
		return nil
	}
	v.pendingQuery = pendingQuery{to: to, sentAt: now}
	return []Action{SendQuery{To: to, Query: v.newQuery(now)}}
}

// newQuery returns the query for what the host does not have.
func (v *View) newQuery(now time.Time) Query {
	q := Query{Digest: v.Digest(now), HeldParts: v.active.digests}
	if v.candidate == nil {
		return q
	}
	q.HeldParts = append([]uint64(nil), q.HeldParts...)
	for _, p := range v.candidate.manifest.Parts() {
		if _, ok := v.candidate.parts[p.Digest()]; ok {
			q.HeldParts = append(q.HeldParts, p.Digest())
		}
	}
	return q
}

// otherHosts returns the hosts of the host list except this one.
func (v *View) otherHosts() []bbtfleet.HostID {
	var out []bbtfleet.HostID
	for _, h := range v.Hosts().Hosts() {
		if h.ID() != v.self {
			out = append(out, h.ID())
		}
	}
	return out
}
