package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtlimit"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtroute"
	"bluebelltray/core/bbtsuspect"
	"bluebelltray/core/bbtverdict"
	"bluebelltray/core/bbtview"
)

// performEntryActions carries out the actions requested by the entry role.
func (d *Daemon) performEntryActions(now time.Time, actions []bbtroute.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtroute.Send:
			d.sendGrantMessage(a.To, a.Message)
		case bbtroute.Dispatch:
			d.dispatch(now, a)
		case bbtroute.Refuse:
			d.refuse(now, a)
		}
	}
}

// performOwnerActions carries out the actions requested by the owner role.
func (d *Daemon) performOwnerActions(_ time.Time, actions []bbtgrant.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtgrant.Grant:
			d.counters.Add("grants", 1)
			d.sendGrantMessage(a.To, a.Permit)
		case bbtgrant.Shed:
			d.counters.Add("sheds", 1)
			d.sendGrantMessage(a.To, a)
		}
	}
}

// sendGrantMessage sends a message between the entry and owner roles to a host,
// which may be this one.
func (d *Daemon) sendGrantMessage(to bbtfleet.HostID, msg bbtgrant.Message) { d.sendMessage(to, msg) }

// sendMessage sends a message to a host; a message to this host is queued for
// deliverLoopback.
func (d *Daemon) sendMessage(to bbtfleet.HostID, msg any) {
	if to == d.id {
		d.loopback = append(d.loopback, msg)
		return
	}
	d.peers.Send(to, msg)
}

// deliverLoopback handles the messages that the host sent to itself.
func (d *Daemon) deliverLoopback(now time.Time) {
	for len(d.loopback) > 0 {
		msg := d.loopback[0]
		d.loopback = d.loopback[1:]
		d.handleMessage(now, d.id, msg)
	}
	d.loopback = nil
}

// handleMessage passes a message to the component that handles its type.
func (d *Daemon) handleMessage(now time.Time, from bbtfleet.HostID, msg any) {
	switch m := msg.(type) {
	case bbtgrant.Registration:
		d.performOwnerActions(now, d.owner.Register(now, from, m))
	case bbtgrant.Withdrawal:
		d.performOwnerActions(now, d.owner.Withdraw(now, from, m.Request))
	case bbtgrant.Return:
		d.performOwnerActions(now, d.owner.Return(now, from, m.Permit))
	case bbtgrant.DispatchEnded:
		d.performOwnerActions(now, d.owner.DispatchEnded(now, from, m))
	case bbtgrant.Permit:
		d.performEntryActions(now, d.entry.Granted(now, from, m))
	case bbtgrant.Shed:
		d.performEntryActions(now, d.entry.WasShed(now, from, m))
	case bbtlimit.Message:
		d.handleLimitMessage(now, from, m)
	case bbtsuspect.Message:
		d.stepCrashAgent(now, bbtsuspect.MessageReceived{From: from, Message: m})
	case ForwardedCall:
		d.handleForward(now, from, m)
	case bbtexec.Message:
		d.stepExecutor(now, bbtexec.MessageReceived{From: from, Message: m})
	case bbtview.Digest:
		d.performViewActions(now, d.view.ReceiveDigest(now, time.Time{}, from, m))
	case bbtmember.Message:
		d.recordIncarnation(now, from, m)
		d.performDetectorActions(now, d.detector.Receive(now, from, m, d.view.Digest(now)))
	default:
		d.counters.Add("peer-messages-unexpected", 1)
	}
}

// dispatch sends a job's request to an endpoint in the background. If the job
// no longer exists or the endpoint is no longer in service, it returns the
// permit.
func (d *Daemon) dispatch(now time.Time, a bbtroute.Dispatch) {
	j := d.jobs[a.Request]
	ep, ok := d.config.Endpoint(a.Endpoint)
	if j == nil || !ok || !d.config.InService(a.Endpoint) {
		outcome := bbtroute.Outcome{Kind: bbtgrant.Refused}
		d.performEntryActions(now, d.entry.Finished(now, a.Request, outcome))
		return
	}
	j.crashTarget = bbtsuspect.Crash{Endpoint: ep.ID(), Incarnation: a.Permit.Incarnation}
	d.stepCrashAgent(now, bbtsuspect.DispatchStarted{Call: j.claim, Endpoint: ep.ID()})
	x := dispatch{daemon: d, job: j, endpoint: ep, notAfter: d.start.Add(a.Permit.Expiry)}
	if j.call != nil {
		d.attempt(now, x)
		return
	}
	j.dispatched = true
	d.counters.Add("dispatches", 1)
	d.wg.Go(x.run)
}

// attempt commits the executor to the dispatch of an at-most-once call and
// starts it. From here on the call counts as possibly run unless the outcome of
// the dispatch shows otherwise.
func (d *Daemon) attempt(now time.Time, x dispatch) {
	number, ok := d.executor.Dispatch(now, x.job.call.id)
	if !ok {
		d.performEntryActions(now, d.entry.Finished(now, x.job.id, bbtroute.Outcome{Kind: bbtgrant.Cancelled}))
		return
	}
	x.job.dispatched = true
	d.counters.Add("dispatches", 1)
	a := &attempt{dispatch: x, number: number}
	d.wg.Go(a.run)
}

// refuse fails a request. If the entry role reports that the request may have
// run, the error of the failed dispatch takes precedence, because it is more
// specific.
func (d *Daemon) refuse(now time.Time, a bbtroute.Refuse) {
	j := d.jobs[a.Request]
	if j == nil {
		return
	}
	delete(d.jobs, a.Request)
	d.releaseClaim(now, j, false)
	d.settleCharge(now, j, 0)
	err := a.Err
	if j.call != nil {
		d.rejectCall(now, j, err)
		return
	}
	if j.lastErr != nil && err.Verdict() == bbtverdict.MayHaveRun {
		err = j.lastErr
	}
	j.refuse(err)
}

// rejectCall reports to the executor that the scheduler refused a call. It
// reports nothing if the call may have run, because the executor already knows
// the outcome of its dispatch.
func (d *Daemon) rejectCall(now time.Time, j *job, err *bbtverdict.Error) {
	j.cancel()
	j.call.job = nil
	if err.Verdict() == bbtverdict.NotRun {
		d.stepExecutor(now, bbtexec.Rejected{Call: j.call.id, Reason: err.Reason(), RetryAfter: err.RetryAfter()})
	}
}
