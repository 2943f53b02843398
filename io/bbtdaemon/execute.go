package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtsuspect"
	"bluebelltray/core/bbtverdict"
)

// stepExecutor passes an event to the executor and carries out the resulting
// actions.
func (d *Daemon) stepExecutor(now time.Time, ev bbtexec.Event) {
	for _, a := range d.executor.Step(now, ev) {
		switch a := a.(type) {
		case bbtexec.Schedule:
			d.scheduleCall(now, a.Call)
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

// submitCall submits an at-most-once request to the executor.
func (d *Daemon) submitCall(now time.Time, j *job, retryable bool) {
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
		Repeatable:     retryable,
	})
}

// newCall registers a call with a new ID.
func (d *Daemon) newCall() *call {
	d.lastCallID++
	c := &call{id: d.lastCallID}
	d.calls[c.id] = c
	return c
}

// scheduleCall schedules a call, unless it is already scheduled.
func (d *Daemon) scheduleCall(now time.Time, id bbtexec.CallID) {
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
	d.requestClaim(now, c.job, contract)
}

// cancelCall removes a call and cancels its job.
func (d *Daemon) cancelCall(now time.Time, id bbtexec.CallID) {
	c := d.calls[id]
	if c == nil {
		return
	}
	delete(d.calls, id)
	if c.job != nil {
		d.releaseClaim(now, c.job, false)
		delete(d.jobs, c.job.id)
		d.performEntryActions(now, d.entry.Cancel(now, c.job.id))
		c.job.cancel()
	}
}

// finishCall delivers the result of a call to its caller. It does not cancel the
// job of the call, which continues even if the caller has disconnected.
func (d *Daemon) finishCall(id bbtexec.CallID, r result) {
	if c := d.calls[id]; c != nil {
		delete(d.calls, id)
		c.finish(r)
	}
}

// sendExecutorMessage sends a message of the executor to a peer and reports a
// failed send to the executor.
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

// handleForward starts a call that a peer forwarded.
func (d *Daemon) handleForward(now time.Time, from bbtfleet.HostID, f ForwardedCall) {
	c := d.newCall()
	c.req = f.request()
	d.stepExecutor(now, bbtexec.MessageReceived{From: from, Call: c.id, Message: f.Request})
}

// pruneCalls removes calls that the executor no longer tracks.
func (d *Daemon) pruneCalls() {
	for id := range d.calls {
		if !d.executor.Active(id) {
			delete(d.calls, id)
		}
	}
}
