package bbtworld

import (
	"slices"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
)

// hostList is one published revision of the host list.
type hostList struct {
	revision    bbtfleet.Revision
	listed      []bool
	publishedAt time.Time
}

// listRead is a read of the host list whose result has not yet reached its process.
type listRead struct {
	node        *node
	incarnation bbtfleet.Incarnation
	requestedAt time.Time
	list        hostList
}

// publish adds a host to the list or removes one, but never the last one.
func (w *World) publish() {
	last := w.lists[len(w.lists)-1]
	listed := slices.Clone(last.listed)
	_, i := pick(w, listed)
	listed[i] = !listed[i]
	if !slices.Contains(listed, true) {
		return
	}
	w.lists = append(w.lists, hostList{revision: last.revision + 1, listed: listed, publishedAt: w.now})
}

// startRead starts a read, which returns a random list among those that were
// current within the last maxListLag.
func (w *World) startRead(n *node) {
	oldest := 0
	for i, l := range w.lists {
		if !l.publishedAt.After(w.now.Add(-maxListLag)) {
			oldest = i
		}
	}
	l, _ := pick(w, w.lists[oldest:])
	w.reads = append(w.reads, listRead{node: n, incarnation: n.incarnation, requestedAt: w.now, list: l})
}

// refresh reads the list without delay at every tick, unless stale reads are simulated.
func (w *World) refresh(n *node) {
	if !w.faults.has(StaleReads) {
		w.confirmView(n, w.now, w.lists[len(w.lists)-1])
	}
}

// finishRead delivers a read's result to its process.
func (w *World) finishRead() {
	r, i := pick(w, w.reads)
	if r.node.paused && r.node.incarnation == r.incarnation {
		return
	}
	w.reads = remove(w.reads, i)
	if r.node.alive && r.node.incarnation == r.incarnation {
		w.confirmView(r.node, r.requestedAt, r.list)
	}
}

// confirmView passes the host list that was read to a process.
func (w *World) confirmView(n *node, requestedAt time.Time, l hostList) {
	var hosts []bbtfleet.Host
	for i, on := range l.listed {
		if on {
			hosts = append(hosts, bbtfleet.NewHost(w.nodes[i].id, "edin-a"))
		}
	}
	view := bbthome.NewView(bbtfleet.NewHostList(l.revision, hosts))
	w.handleEvent(n, bbtexec.ViewConfirmed{RequestedAt: requestedAt, View: view})
}
