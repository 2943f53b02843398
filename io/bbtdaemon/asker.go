package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
	"bluebelltray/io/bbtpeer"
)

// querySender puts a question to a peer on an exchange of its own, so that the answer
// belongs to this question.
type querySender struct {
	daemon *Daemon
	to     bbtfleet.HostID
	query  bbtview.Query
	sentAt time.Time
}

// sendQuery starts a question to a peer.
func (d *Daemon) sendQuery(now time.Time, a bbtview.SendQuery) {
	x := &querySender{daemon: d, to: a.To, query: a.Query, sentAt: now}
	d.wg.Go(x.run)
}

// run asks and posts the answer; a question without an answer is asked again by
// the Keeper.
func (x *querySender) run() {
	ex, err := x.daemon.peers.Open(x.daemon.ctx, x.to)
	if err != nil {
		return
	}
	defer ex.Cancel()
	if err := ex.Send(x.query); err != nil {
		return
	}
	msg, err := ex.Receive()
	if err != nil {
		return
	}
	if t, ok := msg.(bbtview.Reply); ok {
		x.daemon.post(replyReceived{x.sentAt, x.to, t})
	}
}

// replyReceived is a peer's answer to a question sent at asked.
type replyReceived struct {
	sentAt time.Time
	from   bbtfleet.HostID
	msg    bbtview.Reply
}

func (ev replyReceived) apply(d *Daemon, now time.Time) {
	d.performViewActions(now, d.view.ReceiveReply(now, ev.sentAt, ev.from, ev.msg))
}

// queryReceived is a peer's question and the exchange that takes its answer.
type queryReceived struct {
	exchange *bbtpeer.Exchange
	msg      bbtview.Query
}

func (ev queryReceived) apply(d *Daemon, now time.Time) {
	d.pendingQuery = ev.exchange
	d.performViewActions(now, d.view.ReceiveQuery(now, ev.exchange.Host(), ev.msg))
	if d.pendingQuery != nil {
		d.pendingQuery.Cancel()
		d.pendingQuery = nil
	}
}

// sendReply sends the answer to the question at hand.
func (d *Daemon) sendReply(a bbtview.SendReply) {
	if d.pendingQuery == nil || d.pendingQuery.Host() != a.To {
		return
	}
	r := &replySender{exchange: d.pendingQuery, msg: a.Reply}
	d.pendingQuery = nil
	d.wg.Go(r.run)
}

// replySender sends the last message of an exchange.
type replySender struct {
	exchange *bbtpeer.Exchange
	msg      any
}

// run sends the message.
func (r *replySender) run() {
	if err := r.exchange.Send(r.msg); err != nil {
		r.exchange.Cancel()
		return
	}
	r.exchange.Close()
}
