package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
	"bluebelltray/io/bbtpeer"
)

// querySender sends a query to a peer on its own exchange, so that the reply
// can be matched to this query.
type querySender struct {
	daemon      *Daemon
	to          bbtfleet.HostID
	query       bbtview.Query
	requestedAt time.Time
}

// sendQuery sends a query to a peer in the background.
func (d *Daemon) sendQuery(now time.Time, a bbtview.SendQuery) {
	x := &querySender{daemon: d, to: a.To, query: a.Query, requestedAt: now}
	d.wg.Go(x.run)
}

// run sends the query and posts the reply. It does not retry, because the View
// repeats queries that remain unanswered.
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
	if reply, ok := msg.(bbtview.Reply); ok {
		x.daemon.post(replyReceived{x.requestedAt, x.to, reply})
	}
}

// replyReceived is a peer's reply to a query sent at requestedAt.
type replyReceived struct {
	requestedAt time.Time
	from        bbtfleet.HostID
	msg         bbtview.Reply
}

func (ev replyReceived) apply(d *Daemon, now time.Time) {
	d.performViewActions(now, d.view.ReceiveReply(now, ev.requestedAt, ev.from, ev.msg))
}

// queryReceived is a peer's query and the exchange on which to reply.
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

// sendReply replies to the query that is being handled.
func (d *Daemon) sendReply(a bbtview.SendReply) {
	if d.pendingQuery == nil || d.pendingQuery.Host() != a.To {
		return
	}
	r := &replySender{exchange: d.pendingQuery, msg: a.Reply}
	d.pendingQuery = nil
	d.wg.Go(r.run)
}

// replySender sends the final message of an exchange.
type replySender struct {
	exchange *bbtpeer.Exchange
	msg      any
}

// run sends the message and closes the exchange, or cancels it on failure.
func (r *replySender) run() {
	if err := r.exchange.Send(r.msg); err != nil {
		r.exchange.Cancel()
		return
	}
	r.exchange.Close()
}
