package bbtview

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// ManifestRead takes the result of a read or, if watch is set, of a watch of
// the manifest. Asked is when the read was sent. A watch may have waited long, so
// that it does not prove the view to be current.
func (k *View) ManifestRead(now, asked time.Time, v bbtfleet.Value, watch bool) []Action {
	if watch {
		k.reading.watching = false
		asked = time.Time{}
	}
	k.reading.service = v.Revision()
	actions := k.takeManifest(now, asked, v.Data())
	return append(actions, k.readDue(now)...)
}

// WatchFailed says that a watch of the manifest ended without a value.
func (k *View) WatchFailed(now time.Time) []Action {
	k.reading.watching = false
	k.reading.nextWatch = now.Add(k.around(watchRetry))
	return nil
}

// ReadFailed says that the read of the manifest or of a part failed.
func (k *View) ReadFailed(now time.Time, key string) []Action {
	k.counters.failures++
	if key == k.reading.part {
		k.reading.part = ""
		return k.readParts(now)
	}
	return nil
}

// HostListReadFailed says that a read of the host list failed.
func (k *View) HostListReadFailed(now time.Time) []Action {
	k.counters.failures++
	if k.Hosts().Revision() == 0 {
		k.reading.nextHosts = now.Add(k.around(minHostsPeriod))
	}
	return nil
}

// PartRead takes the result of the read of a part.
func (k *View) PartRead(now time.Time, key string, v bbtfleet.Value) []Action {
	if key == k.reading.part {
		k.reading.part = ""
	}
	c := k.candidate
	if c == nil {
		return nil
	}
	digest := Hash(v.Data())
	before := len(c.parts)
	c.fill(func(d uint64) ([]byte, bool) { return v.Data(), d == digest })
	if len(c.parts) == before {
		k.counters.mismatches++
	}
	if !c.whole() {
		return k.readParts(now)
	}
	k.candidate = nil
	return k.judge(now, c)
}

// HostListRead takes the result of a read of the host list.
func (k *View) HostListRead(now time.Time, l bbtfleet.HostList) []Action {
	if l.Revision() < k.Hosts().Revision() {
		k.counters.stale++
	}
	return k.takeHosts(now, l)
}

// takeHosts puts a newer host list in force.
func (k *View) takeHosts(now time.Time, l bbtfleet.HostList) []Action {
	if l.Revision() <= k.Hosts().Revision() {
		return nil
	}
	first := k.Hosts().Revision() == 0
	k.hosts.add(l)
	k.assign()
	actions := []Action{HostListApplied{Hosts: l}}
	if !first {
		k.tell = true
		return actions
	}
	k.reading.nextHosts = now.Add(k.hostsWait())
	return append(actions, k.askAtStart(now)...)
}

// takeManifest takes a manifest that the platform holds.
func (k *View) takeManifest(now, asked time.Time, data []byte) []Action {
	m, err := k.parseManifest(data)
	if err != nil {
		return k.refuseManifest(data, err)
	}
	m = m.complete(data)
	if !k.wanted(m.Version()) {
		k.confirm(asked, m.Version())
		return nil
	}
	if k.candidate != nil && k.candidate.manifest.Version() == m.Version() {
		return nil
	}
	c := k.collect(m, data)
	c.asked = asked
	if c.whole() {
		return k.judge(now, c)
	}
	k.candidate = c
	return nil
}

// wanted reports whether the version would replace the one in force and has not
// been refused.
func (k *View) wanted(v bbtfleet.Version) bool {
	return v.Newer(k.force.version) && v != k.refused.version
}

// confirm notes that the platform holds the version, which is not wanted.
func (k *View) confirm(asked time.Time, v bbtfleet.Version) {
	switch {
	case v == k.force.version, v == k.refused.version:
		k.fresh.platform(asked)
	case v.Revision() == k.force.version.Revision():
		k.counters.conflicts++
	default:
		k.counters.stale++
	}
}

// collect returns a candidate with the parts that the host already holds.
func (k *View) collect(m Manifest, data []byte) *candidate {
	c := newCandidate(m, data)
	c.fill(k.held)
	return c
}

// held returns the content of a digest if the host holds it.
func (k *View) held(digest uint64) ([]byte, bool) {
	if data, ok := k.force.parts[digest]; ok {
		return data, true
	}
	if k.candidate != nil {
		if data, ok := k.candidate.parts[digest]; ok {
			return data, true
		}
	}
	data, ok := k.refused.parts[digest]
	return data, ok
}
