package bbtworld

import (
	"slices"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
)

// published is one revision of the host list.
type published struct {
	revision bbtfleet.Revision
	listed   []bool
	at       time.Time
}

// read is a read of the host list whose result has not reached its process.
type read struct {
	node  *node
	inc   bbtfleet.Incarnation
	asked time.Time
	list  published
}

// publish adds or removes a host, but never the last one.
func (w *World) publish() {
	last := w.lists[len(w.lists)-1]
	listed := slices.Clone(last.listed)
	_, i := pick(w, listed)
	listed[i] = !listed[i]
	if !slices.Contains(listed, true) {
		return
	}
	w.lists = append(w.lists, published{revision: last.revision + 1, listed: listed, at: w.now})
}

// ask starts a read, which may see any list in force within the lag.
func (w *World) ask(n *node) {
	oldest := 0
	for i, l := range w.lists {
		if !l.at.After(w.now.Add(-listLag)) {
			oldest = i
		}
	}
	l, _ := pick(w, w.lists[oldest:])
	w.reads = append(w.reads, read{node: n, inc: n.inc, asked: w.now, list: l})
}

// refresh reads the list at once, as each process does about once a second,
// unless reads are late.
func (w *World) refresh(n *node) {
	if !w.faults.has(StaleReads) {
		w.confirm(n, w.now, w.lists[len(w.lists)-1])
	}
}

// finishRead passes a read's result to its process.
func (w *World) finishRead() {
	r, i := pick(w, w.reads)
	if r.node.paused && r.node.inc == r.inc {
		return
	}
	w.reads = drop(w.reads, i)
	if r.node.alive && r.node.inc == r.inc {
		w.confirm(r.node, r.asked, r.list)
	}
}

// confirm tells a process the host list.
func (w *World) confirm(n *node, asked time.Time, l published) {
	var hosts []bbtfleet.Host
	for i, on := range l.listed {
		if on {
			hosts = append(hosts, bbtfleet.NewHost(w.nodes[i].id, "edin-a"))
		}
	}
	view := bbthome.NewView(bbtfleet.NewHostList(l.revision, hosts))
	w.step(n, bbtexec.ViewConfirmed{RequestedAt: asked, View: view})
}
