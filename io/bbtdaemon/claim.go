package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtsuspect"
	"bluebelltray/core/bbtverdict"
)

// pendingClaim is a job that waits for the coordinator of its request to allow
// the dispatch. The coordinator is the host that admits the dispatches of the
// request from all hosts and counts the crashes that it is suspected of.
type pendingClaim struct {
	job      *job
	contract bbtfleet.Contract
}

// stepCrashAgent passes an event to the agent that limits how many endpoints a
// request can crash, and carries out the resulting actions.
func (d *Daemon) stepCrashAgent(now time.Time, ev bbtsuspect.Event) {
	for _, a := range d.crashAgent.Step(now, ev) {
		switch a := a.(type) {
		case bbtsuspect.Admit:
			d.claimAdmitted(now, a)
		case bbtsuspect.Refuse:
			d.claimRefused(now, a.Call)
		case bbtsuspect.Send:
			d.sendMessage(a.To, a.Message)
		}
	}
}

// requestClaim requests permission to dispatch a job's request.
func (d *Daemon) requestClaim(now time.Time, j *job, contract bbtfleet.Contract) {
	d.lastClaimID++
	j.claim = d.lastClaimID
	d.pendingClaims[j.claim] = &pendingClaim{job: j, contract: contract}
	fingerprint := bbtsuspect.NewFingerprint(j.req.Account(), j.req.Path(), j.req.Body())
	d.stepCrashAgent(now, bbtsuspect.AdmissionRequested{Call: j.claim, Fingerprint: fingerprint})
}

// claimAdmitted schedules a job whose claim was admitted.
func (d *Daemon) claimAdmitted(now time.Time, a bbtsuspect.Admit) {
	c := d.pendingClaims[a.Call]
	if c == nil {
		return
	}
	delete(d.pendingClaims, a.Call)
	if c.job.ctx.Err() != nil {
		d.releaseClaim(now, c.job, false)
		return
	}
	c.job.isolated = a.DispatchMode == bbtsuspect.Isolated
	d.schedule(now, c.job, c.contract)
}

// claimRefused fails a job whose request is suspected of crashing endpoints.
func (d *Daemon) claimRefused(now time.Time, id bbtsuspect.CallID) {
	c := d.pendingClaims[id]
	if c == nil {
		return
	}
	delete(d.pendingClaims, id)
	c.job.claim = 0
	err := bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonCrashesEndpoints,
		bbtverdict.WithRetryAfter(bbtsuspect.SuspectTTL))
	switch {
	case c.job.call != nil:
		d.rejectCall(now, c.job, err)
	case c.job.crashes > 0:
		d.settleCharge(now, c.job, 0)
		c.job.refuse(c.job.lastErr)
	default:
		d.settleCharge(now, c.job, 0)
		c.job.refuse(err)
	}
}

// releaseClaim ends a job's claim. The flag complete is set if the job received
// its complete response.
func (d *Daemon) releaseClaim(now time.Time, j *job, complete bool) {
	if j.claim == 0 {
		return
	}
	delete(d.pendingClaims, j.claim)
	d.stepCrashAgent(now, bbtsuspect.CallEnded{Call: j.claim, Complete: complete})
	j.claim = 0
}

// crashed reports a suspected crash of the endpoint to which a job was
// dispatched. The agent then releases the claims of all jobs on the endpoint.
func (d *Daemon) crashed(now time.Time, j *job) {
	d.counters.Add("crashes-suspected", 1)
	d.stepCrashAgent(now, bbtsuspect.EndpointCrashed{Crash: j.crashTarget})
	j.claim = 0
}

// settleDispatch reports a suspected crash. If the response had started or the
// dispatch was cancelled, there will be no retry, so it also settles the
// account's charge and releases the claim.
func (d *Daemon) settleDispatch(now time.Time, j *job, ev dispatchFinished) {
	if ev.crashed {
		d.crashed(now, j)
	}
	if ev.started || ev.outcome.Kind == bbtgrant.Cancelled {
		d.settleCharge(now, j, ev.outcome.OutputTokens)
		d.releaseClaim(now, j, ev.outcome.Kind == bbtgrant.Finished)
	}
}

// retryAfterCrash requests a new claim before it retries a request that may
// have crashed an endpoint. It fails the job if the contract allows no further
// retry.
func (d *Daemon) retryAfterCrash(now time.Time, j *job) {
	contract, ok := d.config.Contract(j.req.Account())
	delete(d.jobs, j.id)
	d.performEntryActions(now, d.entry.Cancel(now, j.id))
	if !ok || j.crashes >= contract.MaxRetries(j.req.Pool()) {
		d.settleCharge(now, j, 0)
		j.refuse(j.lastErr)
		return
	}
	j.crashes++
	d.requestClaim(now, j, contract)
}
