package bbtworld

import (
	"encoding/binary"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtticket"
)

// Time parameters of the simulated fleet.
const (
	tick           = 100 * time.Millisecond
	maxListLag     = 2 * time.Second
	lease          = 3 * time.Second // how long a confirmed view allows issuing tickets to callers that do not count attempts
	resendWindow   = 40 * time.Second
	ticketLifetime = 15 * time.Second
	settleTime     = 2 * (maxListLag + lease + resendWindow)
)

// node is one entry host and its current process.
type node struct {
	id          bbtfleet.HostID
	incarnation bbtfleet.Incarnation
	alive       bool
	paused      bool
	exec        *bbtexec.Executor
	calls       map[bbtexec.CallID]*request
	waiting     []bbtexec.CallID
}

// isRunning reports whether the process is alive and not paused.
func (n *node) isRunning() bool { return n.alive && !n.paused }

// start starts a new process on the host.
func (w *World) start(n *node) {
	n.incarnation++
	n.alive = true
	n.paused = false
	n.calls = make(map[bbtexec.CallID]*request)
	n.waiting = nil
	secret := binary.BigEndian.AppendUint64([]byte(n.id), uint64(n.incarnation))
	n.exec = bbtexec.New(
		bbtticket.NewIssuer(n.id, n.incarnation, w.now, secret),
		bbtledger.NewLedger(bbtledger.WithLifetime(ticketLifetime), bbtledger.WithRetention(resendWindow)),
		bbthome.New(n.id, rendezvousHash,
			bbthome.WithMaxLag(maxListLag), bbthome.WithLease(lease),
			bbthome.WithResendWindow(resendWindow)),
	)
}

// rendezvousHash selects a key's home, the host that normally issues its tickets, by
// rendezvous hashing. It spreads keys evenly enough over a small number of hosts.
func rendezvousHash(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID {
	var best bbtfleet.HostID
	var maxScore bbtticket.KeyDigest
	for _, h := range hosts {
		score := bbtticket.Digest(bbtfleet.AccountID(h), string(binary.BigEndian.AppendUint64(nil, key)))
		if best == "" || score > maxScore {
			best, maxScore = h, score
		}
	}
	return best
}

// handleEvent passes an event to a process and performs the resulting actions.
func (w *World) handleEvent(n *node, ev bbtexec.Event) {
	for _, a := range n.exec.Step(w.now, ev) {
		w.perform(n, a)
	}
}

// perform performs one action of a process.
func (w *World) perform(n *node, a bbtexec.Action) {
	switch a := a.(type) {
	case bbtexec.Schedule:
		n.waiting = append(n.waiting, a.Call)
	case bbtexec.Cancel:
		n.unqueue(a.Call)
	case bbtexec.Response:
		w.checkResponse(n, a)
	case bbtexec.Refuse:
		w.checkRefusal(n, a)
	case bbtexec.Send:
		w.send(n, a)
	}
}

// unqueue removes a call from the waiting calls.
func (n *node) unqueue(id bbtexec.CallID) {
	for i, r := range n.waiting {
		if r == id {
			n.waiting = remove(n.waiting, i)
			return
		}
	}
}
