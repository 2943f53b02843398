package bbtmember

import (
	"cmp"
	"slices"

	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
)

const (
	ringSuccessors = 2 // next hosts on the ring that a host probes
	ringFingers    = 6 // hosts at halving distances on the ring that a host probes
)

// point is a host's place on the ring.
type point struct {
	hash uint64
	id   bbtfleet.HostID
}

// ring orders the hosts by the hashes of their names.
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

// neighbours returns the hosts that self probes, in a fixed order: the next
// ones on the ring and the first ones after self's place plus a half, a quarter
// and so on of the ring. Hosts for which skip holds are passed over.
func (r ring) neighbours(self bbtfleet.HostID, skip func(bbtfleet.HostID) bool) []bbtfleet.HostID {
	place := xxhash.Sum64String(string(self))
	var out []bbtfleet.HostID
	taken := func(id bbtfleet.HostID) bool {
		return id == self || skip(id) || slices.Contains(out, id)
	}
	add := func(from uint64) {
		if id, ok := r.after(from, taken); ok {
			out = append(out, id)
		}
	}
	for range ringSuccessors {
		add(place)
	}
	for i := range ringFingers {
		add(place + 1<<(63-i))
	}
	return out
}

// after returns the first host from the place on that is not taken.
func (r ring) after(place uint64, taken func(bbtfleet.HostID) bool) (bbtfleet.HostID, bool) {
	start, _ := slices.BinarySearchFunc(r.points, place, func(p point, h uint64) int {
		return cmp.Compare(p.hash, h)
	})
	for i := range r.points {
		p := r.points[(start+i)%len(r.points)]
		if !taken(p.id) {
			return p.id, true
		}
	}
	return "", false
}
