package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtroute"
)

// event is something that happened outside of run.
type event interface {
	apply(d *Daemon, now time.Time)
}

// submitted is a caller's request.
type submitted struct{ job *job }

// cancelled says that a request's caller has left.
type cancelled struct{ job *job }

// firstToken says that the first bytes of an answer arrived.
type firstToken struct{ id bbtgrant.RequestID }

// finished says how a dispatch ended.
type finished struct {
	id      bbtgrant.RequestID
	outcome bbtroute.Outcome
	started bool // the caller has the head of the answer
	crashed bool // the endpoint broke the connection off
}

// received is a message from a peer.
type received struct {
	from bbtfleet.HostID
	msg  any
}

// reported is an endpoint's load report.
type reported struct{ report bbtgrant.LoadReport }

// located asks for the addresses of an account's callers.
type located struct {
	account bbtfleet.AccountID
	reply   chan<- location
}

// location is the answer to located.
type location struct {
	known     bool
	addresses []string
}

func (ev submitted) apply(d *Daemon, now time.Time) { d.submit(now, ev.job) }

func (ev cancelled) apply(d *Daemon, now time.Time) { d.cancelJob(now, ev.job) }

func (ev firstToken) apply(d *Daemon, now time.Time) {
	d.doEntry(now, d.entry.FirstToken(now, ev.id))
}

func (ev finished) apply(d *Daemon, now time.Time) {
	j := d.jobs[ev.id]
	if j != nil {
		d.conclude(now, j, ev)
	}
	d.doEntry(now, d.entry.Finished(now, ev.id, ev.outcome))
	if ev.started || ev.outcome.Kind == bbtgrant.Cancelled {
		delete(d.jobs, ev.id)
		d.doEntry(now, d.entry.Cancel(now, ev.id))
	}
	if ev.crashed && d.jobs[ev.id] != nil {
		d.claimRepeat(now, j)
	}
}

func (ev received) apply(d *Daemon, now time.Time) { d.receive(now, ev.from, ev.msg) }

func (ev reported) apply(d *Daemon, now time.Time) {
	d.doOwner(now, d.owner.UpdateLoad(now, ev.report))
}

func (ev located) apply(d *Daemon, _ time.Time) { ev.reply <- d.locate(ev.account) }
