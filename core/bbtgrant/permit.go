package bbtgrant

import (
	"container/heap"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtqueue"
)

// permit is the owner's record of an outstanding permit.
type permit struct {
	id           PermitID
	host         bbtfleet.HostID
	endpoint     *endpoint
	item         bbtqueue.Item
	registration Registration
	unread       float64 // prompt tokens the endpoint has to process, as of the grant
	grantedAt    time.Time
	endsBy       time.Time // the dispatch is assumed to have ended by then
	index        int       // in the heap
}

// permits holds the outstanding permits, ordered by endsBy.
type permits struct {
	byID map[PermitID]*permit
	heap permitHeap
}

func (ps *permits) add(p *permit) {
	if ps.byID == nil {
		ps.byID = make(map[PermitID]*permit)
	}
	ps.byID[p.id] = p
	heap.Push(&ps.heap, p)
}

func (ps *permits) remove(p *permit) {
	delete(ps.byID, p.id)
	heap.Remove(&ps.heap, p.index)
}

// get returns the permit if it belongs to the host, or nil.
func (ps *permits) get(host bbtfleet.HostID, id PermitID) *permit {
	if p := ps.byID[id]; p != nil && p.host == host {
		return p
	}
	return nil
}

// due returns a permit whose dispatch is assumed to have ended by now, or nil.
func (ps *permits) due(now time.Time) *permit {
	if len(ps.heap) == 0 || now.Before(ps.heap[0].endsBy) {
		return nil
	}
	return ps.heap[0]
}

// next returns when the first permit is due, or the zero time if there is none.
func (ps *permits) next() time.Time {
	if len(ps.heap) == 0 {
		return time.Time{}
	}
	return ps.heap[0].endsBy
}

// setEndsBy changes the time by which the dispatch of a permit is assumed to
// have ended.
func (ps *permits) setEndsBy(p *permit, endsBy time.Time) {
	p.endsBy = endsBy
	heap.Fix(&ps.heap, p.index)
}

// permitHeap is a heap.Interface ordered by endsBy, then by ID.
type permitHeap []*permit

func (h permitHeap) Len() int { return len(h) }

func (h permitHeap) Less(i, j int) bool {
	if h[i].endsBy.Equal(h[j].endsBy) {
		return h[i].id < h[j].id
	}
	return h[i].endsBy.Before(h[j].endsBy)
}

func (h permitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *permitHeap) Push(x any) {
	p := x.(*permit)
	p.index = len(*h)
	*h = append(*h, p)
}

func (h *permitHeap) Pop() any {
	last := len(*h) - 1
	p := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return p
}
