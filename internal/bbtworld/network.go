package bbtworld

import "bluebelltray/core/bbtexec"

// packet is a message that has left its sender.
type packet struct {
	from, to *node
	message  bbtexec.Message
	request  *request // whose body goes along
}

// link is a pair of hosts, in order of their names.
type link struct{ a, b *node }

// linkOf returns the link between two hosts.
func linkOf(a, b *node) link {
	if a.id > b.id {
		return link{b, a}
	}
	return link{a, b}
}

// send puts a message on the way, or fails at once when its receiver cannot be
// reached and the sender learns of it.
func (w *World) send(n *node, a bbtexec.Send) {
	var to *node
	for _, o := range w.nodes {
		if o.id == a.To {
			to = o
		}
	}
	if (!to.alive || w.cut[linkOf(n, to)]) && w.chance(2) {
		w.disconnect(n, to)
		w.step(n, bbtexec.SendFailed{To: a.To, Message: a.Message})
		return
	}
	if w.faults.has(Partitions) && w.chance(20) { // the queue to the peer is full
		w.step(n, bbtexec.SendFailed{To: a.To, Message: a.Message})
		return
	}
	w.net = append(w.net, packet{from: n, to: to, message: a.Message, request: n.calls[a.Call]})
}

// deliver passes a message on; over a cut link it is lost or waits.
func (w *World) deliver() {
	at := 0
	if w.faults.has(Reorder) {
		_, at = pick(w, w.net)
	}
	p := w.net[at]
	if p.to.paused {
		return
	}
	if !p.to.alive || w.cut[linkOf(p.from, p.to)] {
		if w.chance(2) {
			w.net = drop(w.net, at)
			w.disconnect(p.from, p.to)
		}
		return
	}
	if !w.faults.has(Reorder) || !w.chance(5) {
		w.net = drop(w.net, at)
	}
	ev := bbtexec.MessageReceived{From: p.from.id, Message: p.message}
	if _, ok := p.message.(bbtexec.ForwardRequest); ok {
		w.nextCall++
		ev.Call = w.nextCall
		p.to.calls[ev.Call] = p.request
	}
	w.step(p.to, ev)
}
