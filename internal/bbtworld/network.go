package bbtworld

import "bluebelltray/core/bbtexec"

// packet is a message in flight.
type packet struct {
	from, to *node
	message  bbtexec.Message
	request  *request // request that the message belongs to
}

// link is a pair of hosts, ordered by ID.
type link struct{ a, b *node }

// linkOf returns the link between two hosts.
func linkOf(a, b *node) link {
	if a.id > b.id {
		return link{b, a}
	}
	return link{a, b}
}

// send sends a message. It may fail immediately if the receiver is unreachable
// or the queue to it is full.
func (w *World) send(n *node, a bbtexec.Send) {
	var to *node
	for _, o := range w.nodes {
		if o.id == a.To {
			to = o
		}
	}
	if (!to.alive || w.partitioned[linkOf(n, to)]) && w.oneIn(2) {
		w.disconnect(n, to)
		w.handleEvent(n, bbtexec.SendFailed{To: a.To, Message: a.Message})
		return
	}
	if w.faults.has(Partitions) && w.oneIn(20) { // the queue to the peer is full
		w.handleEvent(n, bbtexec.SendFailed{To: a.To, Message: a.Message})
		return
	}
	w.inFlight = append(w.inFlight, packet{from: n, to: to, message: a.Message, request: n.calls[a.Call]})
}

// deliver delivers a message. A message to a dead process or over a partitioned link is
// lost or stays queued.
func (w *World) deliver() {
	i := 0
	if w.faults.has(Reorder) {
		_, i = pick(w, w.inFlight)
	}
	p := w.inFlight[i]
	if p.to.paused {
		return
	}
	if !p.to.alive || w.partitioned[linkOf(p.from, p.to)] {
		if w.oneIn(2) {
			w.inFlight = remove(w.inFlight, i)
			w.disconnect(p.from, p.to)
		}
		return
	}
	if !w.faults.has(Reorder) || !w.oneIn(5) {
		w.inFlight = remove(w.inFlight, i)
	}
	ev := bbtexec.MessageReceived{From: p.from.id, Message: p.message}
	if _, ok := p.message.(bbtexec.ForwardRequest); ok {
		w.nextCall++
		ev.Call = w.nextCall
		p.to.calls[ev.Call] = p.request
	}
	w.handleEvent(p.to, ev)
}
