package bbtworld

import (
	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
)

// loss is a connection's end that a process has yet to notice.
type loss struct {
	node *node
	inc  bbtfleet.Incarnation
	peer bbtfleet.HostID
}

// disconnect ends the connection of two hosts; each notices at its own time.
func (w *World) disconnect(a, b *node) {
	w.losses = append(w.losses, loss{a, a.inc, b.id}, loss{b, b.inc, a.id})
}

// notice lets a process notice a connection's end.
func (w *World) notice() {
	l, i := pick(w, w.losses)
	if l.node.inc == l.inc && l.node.paused {
		return
	}
	w.losses = drop(w.losses, i)
	if l.node.alive && l.node.inc == l.inc {
		w.step(l.node, bbtexec.PeerLost{Host: l.peer})
	}
}

// Quiesce ends all faults and lets everything under way end. Each caller that
// still waits at a living process must have got a verdict then.
func (w *World) Quiesce() {
	w.faults = 0
	w.cut = make(map[link]bool)
	for _, n := range w.nodes {
		n.paused = false
	}
	for w.busy() {
	}
	for range 2 {
		w.pass(bbtexec.IssueTimeout)
		for w.busy() {
		}
	}
	for _, r := range w.requests {
		if r.at != nil && r.at.alive && r.inc == r.at.inc {
			w.fail("request %d got no verdict", r.id)
		}
	}
}

// busy takes one step of what is under way and reports whether there was any.
func (w *World) busy() bool {
	switch {
	case len(w.net) > 0:
		w.deliver()
	case len(w.losses) > 0:
		w.notice()
	case len(w.withWork()) > 0:
		w.check(w.withWork()[0])
	case len(w.writes) > 0:
		w.write()
	case len(w.running) > 0:
		w.finish()
	default:
		return false
	}
	return true
}
