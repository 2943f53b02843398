package bbtworld

import (
	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
)

// disconnection is a closed connection that one of its two processes has yet to
// detect.
type disconnection struct {
	node        *node
	incarnation bbtfleet.Incarnation
	peer        bbtfleet.HostID
}

// disconnect closes the connection between two hosts. Each detects this later,
// independently of the other.
func (w *World) disconnect(a, b *node) {
	w.disconnections = append(w.disconnections, disconnection{a, a.incarnation, b.id}, disconnection{b, b.incarnation, a.id})
}

// detectDisconnection makes a process detect a closed connection.
func (w *World) detectDisconnection() {
	d, i := pick(w, w.disconnections)
	if d.node.incarnation == d.incarnation && d.node.paused {
		return
	}
	w.disconnections = remove(w.disconnections, i)
	if d.node.alive && d.node.incarnation == d.incarnation {
		w.handleEvent(d.node, bbtexec.PeerLost{Host: d.peer})
	}
}

// Quiesce ends all faults, delivers all messages and completes all dispatches. After
// that, each caller that attempted its request at a process that is still alive must
// have a verdict.
func (w *World) Quiesce() {
	w.faults = 0
	w.partitioned = make(map[link]bool)
	for _, n := range w.nodes {
		n.paused = false
	}
	for w.drainStep() {
	}
	// Ticket requests without a reply time out, and replies that could not be sent are
	// sent again.
	for range 2 {
		w.advance(bbtexec.IssueTimeout)
		for w.drainStep() {
		}
	}
	for _, r := range w.requests {
		if r.host != nil && r.host.alive && r.incarnation == r.host.incarnation {
			w.fail("request %d got no verdict", r.id)
		}
	}
}

// drainStep delivers a message, detects a disconnection or advances a dispatch, and
// reports whether any was outstanding.
func (w *World) drainStep() bool {
	switch {
	case len(w.inFlight) > 0:
		w.deliver()
	case len(w.disconnections) > 0:
		w.detectDisconnection()
	case len(w.nodesWithWaitingCalls()) > 0:
		w.commitDispatch(w.nodesWithWaitingCalls()[0])
	case len(w.committed) > 0:
		w.sendFirstByte()
	case len(w.running) > 0:
		w.finishDispatch()
	default:
		return false
	}
	return true
}
