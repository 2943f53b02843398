package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtsuspect"
	"bluebelltray/core/bbtverdict"
)

// stepExecutor passes an event to the executor and carries out what it asks for.
func (d *Daemon) stepExecutor(now time.Time, ev bbtexec.Event) {
	for _, a := range d.executor.Step(now, ev) {
		switch a := a.(type) {
		case bbtexec.Schedule:
			d.runCall(now, a.Call)
		case bbtexec.Cancel:
			d.cancelCall(now, a.Call)
		case bbtexec.Response:
			d.finishCall(a.Call, result{response: &storedResponse{response: a.Response}})
		case bbtexec.Refuse:
			d.finishCall(a.Call, result{err: refusalError(a)})
		case bbtexec.Send:
			d.sendExecutorMessage(now, a)
		}
	}
}

// submitCall starts a request that runs at most once.
func (d *Daemon) submitCall(now time.Time, j *job, repeatable bool) {
	c := d.newCall()
	c.req, c.result = j.req, j.result
	j.call = c
	d.counters.Add("requests-once", 1)
	d.stepExecutor(now, bbtexec.Submit{
		Call:           c.id,
		Account:        j.req.Account(),
		Ticket:         j.req.Ticket(),
		Key:            j.req.Key(),
		Fingerprint:    uint64(bbtsuspect.NewFingerprint(j.req.Account(), j.req.Path(), j.req.Body())),
		IsFirstAttempt: j.req.IsFirstAttempt(),
		Uncounted:      !j.req.CountsAttempts(),
		Repeatable:     repeatable,
	})
}

// newCall returns a call with a new number.
func (d *Daemon) newCall() *call {
	d.lastCallID++
	c := &call{id: d.lastCallID}
	d.calls[c.id] = c
	return c
}

// runCall hands a call to the scheduler, unless it is there already.
func (d *Daemon) runCall(now time.Time, id bbtexec.CallID) {
	c := d.calls[id]
	if c == nil || c.job != nil {
		return
	}
	contract, ok := d.config.Contract(c.req.Account())
	if !ok {
		d.stepExecutor(now, bbtexec.Rejected{Call: id, Reason: bbtverdict.ReasonUnknownAccount})
		return
	}
	c.job = d.newCallJob(c)
	d.claim(now, c.job, contract)
}

// cancelCall withdraws a call from the scheduler.
func (d *Daemon) cancelCall(now time.Time, id bbtexec.CallID) {
	c := d.calls[id]
	if c == nil {
		return
	}
	delete(d.calls, id)
	if c.job != nil {
		d.release(now, c.job, false)
		delete(d.jobs, c.job.id)
		d.performEntryActions(now, d.entry.Cancel(now, c.job.id))
		c.job.cancel()
	}
}

// finishCall hands the result of a call to its caller. The job of a call whose
// caller left goes on.
func (d *Daemon) finishCall(id bbtexec.CallID, r result) {
	if c := d.calls[id]; c != nil {
		delete(d.calls, id)
		c.finish(r)
	}
}

// sendExecutorMessage passes an executor's message to a peer.
func (d *Daemon) sendExecutorMessage(now time.Time, a bbtexec.Send) {
	var msg any = a.Message
	if f, ok := a.Message.(bbtexec.ForwardRequest); ok {
		c := d.calls[a.Call]
		if c == nil {
			return
		}
		d.counters.Add("calls-forwarded", 1)
		msg = newForward(f, c.req)
	}
	if a.To == d.id {
		d.loopback = append(d.loopback, msg)
		return
	}
	if !d.peers.Send(a.To, msg) {
		d.stepExecutor(now, bbtexec.SendFailed{To: a.To, Message: a.Message})
	}
}

// handleForward starts a call that a peer passed on.
func (d *Daemon) handleForward(now time.Time, from bbtfleet.HostID, f ForwardedCall) {
	c := d.newCall()
	c.req = f.request()
	d.stepExecutor(now, bbtexec.Received{From: from, Call: c.id, Message: f.Request})
}

// pruneCalls forgets calls that the executor is done with.
func (d *Daemon) pruneCalls() {
	for id := range d.calls {
		if !d.executor.Active(id) {
			delete(d.calls, id)
		}
	}
}
