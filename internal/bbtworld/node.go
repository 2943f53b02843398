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

// The times of the small fleet.
const (
	tick       = 100 * time.Millisecond
	listLag    = 2 * time.Second
	lease      = 3 * time.Second
	window     = 40 * time.Second
	lifetime   = 15 * time.Second
	settleTime = 2 * (listLag + lease + window)
)

// node is one entry host and its current process.
type node struct {
	id       bbtfleet.HostID
	inc      bbtfleet.Incarnation
	alive    bool
	paused   bool
	exec     *bbtexec.Executor
	calls    map[bbtexec.CallID]*request
	runnable []bbtexec.CallID
}

// able reports whether the process takes steps.
func (n *node) able() bool { return n.alive && !n.paused }

// start starts a new process of the host.
func (w *World) start(n *node) {
	n.inc++
	n.alive = true
	n.paused = false
	n.calls = make(map[bbtexec.CallID]*request)
	n.runnable = nil
	secret := binary.BigEndian.AppendUint64([]byte(n.id), uint64(n.inc))
	n.exec = bbtexec.New(
		bbtticket.NewIssuer(n.id, n.inc, w.now, secret),
		bbtledger.NewLedger(bbtledger.WithLifetime(lifetime), bbtledger.WithRetention(window)),
		bbthome.New(n.id, rank,
			bbthome.WithMaxLag(listLag), bbthome.WithLease(lease),
			bbthome.WithResendWindow(window)),
	)
}

// rank is a rendezvous hash that is good enough for a few hosts.
func rank(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID {
	var best bbtfleet.HostID
	var most bbtticket.KeyDigest
	for _, h := range hosts {
		score := bbtticket.Digest(bbtfleet.AccountID(h), string(binary.BigEndian.AppendUint64(nil, key)))
		if best == "" || score > most {
			best, most = h, score
		}
	}
	return best
}

// step passes an event to a process and carries its actions out.
func (w *World) step(n *node, ev bbtexec.Event) {
	for _, a := range n.exec.Step(w.now, ev) {
		w.act(n, a)
	}
}

// act carries one action out.
func (w *World) act(n *node, a bbtexec.Action) {
	switch a := a.(type) {
	case bbtexec.Schedule:
		n.runnable = append(n.runnable, a.Call)
	case bbtexec.Cancel:
		n.unqueue(a.Call)
	case bbtexec.Response:
		w.answered(n, a)
	case bbtexec.Refuse:
		w.refused(n, a)
	case bbtexec.Send:
		w.send(n, a)
	}
}

// unqueue takes a call from the calls that wait for an endpoint.
func (n *node) unqueue(id bbtexec.CallID) {
	for i, r := range n.runnable {
		if r == id {
			n.runnable = drop(n.runnable, i)
			return
		}
	}
}
