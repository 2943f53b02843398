package bbtmember

import (
	"cmp"
	"slices"

	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
)

const (
	ringSuccessors = 2 // successors on the ring that a host probes
	ringFingers    = 6 // hosts that a host probes at 1/2, 1/4, 1/8 and so on of the ring from its position
)

// point is a host's position on the ring.
type point struct {
	hash uint64
	id   bbtfleet.HostID
}

// ring is a consistent hash ring: the hosts sorted by the hashes of their IDs.
type ring struct{ points []point }

// newRing returns the ring of the hosts.
func newRing(hosts []bbtfleet.Host) ring {
	points := make([]point, 0, len(hosts))
	for _, h := range hosts {
		points = append(points, point{hash: xxhash.Sum64String(string(h.ID())), id: h.ID()})
	}
	slices.SortFunc(points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	return ring{points: points}
}

// neighbours returns the hosts that self probes, in a fixed order: its
// successors on the ring and the first hosts after self's position plus a half,
// a quarter and so on of the ring. Hosts for which skip returns true are left
// out.
func (r ring) neighbours(self bbtfleet.HostID, skip func(bbtfleet.HostID) bool) []bbtfleet.HostID {
	position := xxhash.Sum64String(string(self))
	var out []bbtfleet.HostID
	excluded := func(id bbtfleet.HostID) bool {
		return id == self || skip(id) || slices.Contains(out, id)
	}
	add := func(from uint64) {
		if id, ok := r.after(from, excluded); ok {
			out = append(out, id)
		}
	}
	for range ringSuccessors {
		add(position)
	}
	for i := range ringFingers {
		add(position + 1<<(63-i))
	}
	return out
}

// after returns the first host at or after the position that is not excluded.
func (r ring) after(position uint64, excluded func(bbtfleet.HostID) bool) (bbtfleet.HostID, bool) {
	start, _ := slices.BinarySearchFunc(r.points, position, func(p point, h uint64) int {
		return cmp.Compare(p.hash, h)
	})
	for i := range r.points {
		p := r.points[(start+i)%len(r.points)]
		if !excluded(p.id) {
			return p.id, true
		}
	}
	return "", false
}
