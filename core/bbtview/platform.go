package bbtview

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// ManifestRead handles the result of a read or, if watch is set, of a watch of
// the manifest. The time requestedAt is when the read was sent. The result of a
// watch does not prove that the view is current, as the watch may have waited
// long.
func (v *View) ManifestRead(now, requestedAt time.Time, value bbtfleet.Value, watch bool) []Action {
	if watch {
		v.readState.watching = false
		requestedAt = time.Time{}
	}
	v.readState.serviceRevision = value.Revision()
	actions := v.applyManifest(now, requestedAt, value.Data())
	return append(actions, v.dueReads(now)...)
}

// WatchFailed handles a watch of the manifest that ended without a value.
func (v *View) WatchFailed(now time.Time) []Action {
	v.readState.watching = false
	v.readState.nextWatch = now.Add(v.jitter(watchRetryDelay))
	return nil
}

// ReadFailed handles a failed read of the manifest or of a part.
func (v *View) ReadFailed(now time.Time, key string) []Action {
	v.counters.readFailures++
	if key == v.readState.partKey {
		v.readState.partKey = ""
		return v.readParts(now)
	}
	return nil
}

// HostListReadFailed handles a failed read of the host list.
func (v *View) HostListReadFailed(now time.Time) []Action {
	v.counters.readFailures++
	if v.Hosts().Revision() == 0 {
		v.readState.nextHostListRead = now.Add(v.jitter(minHostListInterval))
	}
	return nil
}

// PartRead handles the result of a read of a part.
func (v *View) PartRead(now time.Time, key string, value bbtfleet.Value) []Action {
	if key == v.readState.partKey {
		v.readState.partKey = ""
	}
	c := v.candidate
	if c == nil {
		return nil
	}
	digest := Hash(value.Data())
	before := len(c.parts)
	c.addParts(func(d uint64) ([]byte, bool) { return value.Data(), d == digest })
	if len(c.parts) == before {
		v.counters.mismatches++
	}
	if !c.hasAllParts() {
		return v.readParts(now)
	}
	v.candidate = nil
	return v.evaluate(now, c)
}

// HostListRead handles the result of a read of the host list.
func (v *View) HostListRead(now time.Time, list bbtfleet.HostList) []Action {
	if list.Revision() < v.Hosts().Revision() {
		v.counters.stale++
	}
	return v.applyHostList(now, list)
}

// applyHostList makes a newer host list active.
func (v *View) applyHostList(now time.Time, list bbtfleet.HostList) []Action {
	if list.Revision() <= v.Hosts().Revision() {
		return nil
	}
	first := v.Hosts().Revision() == 0
	v.hostLists.add(list)
	v.assignReaderRole()
	actions := []Action{HostListApplied{Hosts: list}}
	if !first {
		v.notifyNeighbours = true
		return actions
	}
	v.readState.nextHostListRead = now.Add(v.hostListDelay())
	return append(actions, v.startupQueries(now)...)
}

// applyManifest handles a manifest that was read from the platform.
func (v *View) applyManifest(now, requestedAt time.Time, data []byte) []Action {
	m, err := v.parseManifest(data)
	if err != nil {
		return v.refuseManifest(data, err)
	}
	m = m.withData(data)
	if !v.applicable(m.Version()) {
		v.recordConfirmation(requestedAt, m.Version())
		return nil
	}
	if v.candidate != nil && v.candidate.manifest.Version() == m.Version() {
		return nil
	}
	c := v.collectParts(m, data)
	c.requestedAt = requestedAt
	if c.hasAllParts() {
		return v.evaluate(now, c)
	}
	v.candidate = c
	return nil
}

// applicable reports whether the version is newer than the active one and is not
// the newest refused one.
func (v *View) applicable(ver bbtfleet.Version) bool {
	return ver.Newer(v.active.version) && ver != v.refused.version
}

// recordConfirmation handles a manifest from the platform whose version is not
// applicable. It confirms the view if the version is the active or the refused
// one; otherwise it is counted as conflicting or stale.
func (v *View) recordConfirmation(requestedAt time.Time, ver bbtfleet.Version) {
	switch {
	case ver == v.active.version, ver == v.refused.version:
		v.fresh.platformConfirmed(requestedAt)
	case ver.Revision() == v.active.version.Revision():
		v.counters.conflicts++
	default:
		v.counters.stale++
	}
}

// collectParts returns a candidate with the parts that the host already has.
func (v *View) collectParts(m Manifest, data []byte) *candidate {
	c := newCandidate(m, data)
	c.addParts(v.heldPart)
	return c
}

// heldPart returns the content of the part whose content hash is digest, if the
// host has it.
func (v *View) heldPart(digest uint64) ([]byte, bool) {
	if data, ok := v.active.parts[digest]; ok {
		return data, true
	}
	if v.candidate != nil {
		if data, ok := v.candidate.parts[digest]; ok {
			return data, true
		}
	}
	data, ok := v.refused.parts[digest]
	return data, ok
}
