package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
	"bluebelltray/io/bbtpeer"
)

// asker puts a question to a peer on an exchange of its own, so that the answer
// belongs to this question.
type asker struct {
	daemon *Daemon
	to     bbtfleet.HostID
	msg    bbtview.Query
	asked  time.Time
}

// ask starts a question to a peer.
func (d *Daemon) ask(now time.Time, a bbtview.SendQuery) {
	x := &asker{daemon: d, to: a.To, msg: a.Query, asked: now}
	d.done.Go(x.run)
}

// run asks and posts the answer; a question without an answer is asked again by
// the Keeper.
func (x *asker) run() {
	ex, err := x.daemon.peers.Open(x.daemon.ctx, x.to)
	if err != nil {
		return
	}
	defer ex.Cancel()
	if err := ex.Send(x.msg); err != nil {
		return
	}
	msg, err := ex.Receive()
	if err != nil {
		return
	}
	if t, ok := msg.(bbtview.Reply); ok {
		x.daemon.post(peerAnswered{x.asked, x.to, t})
	}
}

// peerAnswered is a peer's answer to a question sent at asked.
type peerAnswered struct {
	asked time.Time
	from  bbtfleet.HostID
	msg   bbtview.Reply
}

func (ev peerAnswered) apply(d *Daemon, now time.Time) {
	d.doView(now, d.keeper.ReceiveReply(now, ev.asked, ev.from, ev.msg))
}

// peerAsked is a peer's question and the exchange that takes its answer.
type peerAsked struct {
	exchange *bbtpeer.Exchange
	msg      bbtview.Query
}

func (ev peerAsked) apply(d *Daemon, now time.Time) {
	d.asking = ev.exchange
	d.doView(now, d.keeper.ReceiveQuery(now, ev.exchange.Host(), ev.msg))
	if d.asking != nil {
		d.asking.Cancel()
		d.asking = nil
	}
}

// answerPeer sends the answer to the question at hand.
func (d *Daemon) answerPeer(a bbtview.SendReply) {
	if d.asking == nil || d.asking.Host() != a.To {
		return
	}
	r := &replier{exchange: d.asking, msg: a.Reply}
	d.asking = nil
	d.done.Go(r.run)
}

// replier sends the last message of an exchange.
type replier struct {
	exchange *bbtpeer.Exchange
	msg      any
}

// run sends the message.
func (r *replier) run() {
	if err := r.exchange.Send(r.msg); err != nil {
		r.exchange.Cancel()
		return
	}
	r.exchange.Close()
}
