package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtsuspect"
	"bluebelltray/core/bbtverdict"
)

// Periods of claims at the guards of requests.
const (
	claimTimeout = 250 * time.Millisecond // then the host's own knowledge decides
	claimAgain   = 200 * time.Millisecond // between claims of a copy that is held back
)

// claim is a job that waits for leave of its request's guard.
type claim struct {
	job      *job
	contract bbtfleet.Contract
	copy     bbtsuspect.Copy
	guard    bbtfleet.HostID
	next     time.Time // when to ask again or to go on without an answer
	holding  bool      // another copy is in flight
}

// claim asks the guard of a job's request whether it may be dispatched.
func (d *Daemon) claim(now time.Time, j *job, contract bbtfleet.Contract) {
	j.print = bbtsuspect.Of(j.req.Account(), j.req.Path(), j.req.Body())
	d.lastCopy++
	c := &claim{
		job:      j,
		contract: contract,
		copy:     bbtsuspect.Copy{Host: d.id, Incarnation: d.incarnation, ID: d.lastCopy},
	}
	j.copy = c.copy
	d.claims[c.copy.ID] = c
	d.sendClaim(now, c)
}

// sendClaim sends the claim to the guard of the moment.
func (d *Daemon) sendClaim(now time.Time, c *claim) {
	c.guard = d.guardOf(c.job.print)
	c.job.guard = c.guard
	c.next = now.Add(claimTimeout)
	c.holding = false
	d.tell(c.guard, bbtsuspect.Claim{Fingerprint: c.job.print, Copy: c.copy})
}

// guardOf returns the host that guards a request.
func (d *Daemon) guardOf(f bbtsuspect.Fingerprint) bbtfleet.HostID {
	up := make([]bbtfleet.HostID, 0, len(d.hosts.Hosts()))
	for _, h := range d.hosts.Hosts() {
		if h.ID() == d.id || d.member.State(h.ID()) < bbtmember.Leaving {
			up = append(up, h.ID())
		}
	}
	if len(up) == 0 {
		return d.id
	}
	return keyHome(up, uint64(f))
}

// claimGranted follows a guard's answer.
func (d *Daemon) claimGranted(now time.Time, g bbtsuspect.Grant) {
	c := d.claims[g.Copy.ID]
	if c == nil || c.copy != g.Copy {
		return
	}
	d.treat(now, c, g.Treatment)
}

// treat goes on with a claim as its treatment says.
func (d *Daemon) treat(now time.Time, c *claim, t bbtsuspect.Treatment) {
	if t == bbtsuspect.Hold {
		d.counters.Add("requests-held-back", 1)
		c.holding, c.next = true, now.Add(claimAgain)
		return
	}
	delete(d.claims, c.copy.ID)
	if c.job.ctx.Err() != nil {
		d.release(c.job, nil, false)
		return
	}
	if t == bbtsuspect.Banned {
		d.release(c.job, nil, false)
		d.ban(now, c.job)
		return
	}
	c.job.aloneOnly = t == bbtsuspect.Alone
	d.schedule(now, c.job, c.contract)
}

// ban refuses a request that crashes endpoints.
func (d *Daemon) ban(now time.Time, j *job) {
	err := bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonSuspect,
		bbtverdict.WithRetryAfter(bbtsuspect.SuspicionTime))
	if j.call != nil {
		d.rejectCall(now, j, err)
		return
	}
	d.settle(now, j, 0)
	j.refuse(err)
}

// claimsDue asks again for what is held back, and goes on by the host's own
// knowledge where the guard does not answer.
func (d *Daemon) claimsDue(now time.Time) {
	for _, c := range d.claims {
		switch {
		case now.Before(c.next):
		case c.job.ctx.Err() != nil:
			delete(d.claims, c.copy.ID)
		case c.holding:
			d.sendClaim(now, c)
		default:
			d.counters.Add("claims-unanswered", 1)
			d.treat(now, c, d.suspicions.Treatment(now, c.job.print))
		}
	}
}

// release ends a job's claim at its guard.
func (d *Daemon) release(j *job, crash *bbtsuspect.Crash, whole bool) {
	if j.guard == "" {
		return
	}
	d.tell(j.guard, bbtsuspect.Release{Fingerprint: j.print, Copy: j.copy, Crash: crash, Whole: whole})
	j.guard = ""
}

// ended records how a dispatch of a job ended, for the suspicion of requests
// that crash endpoints.
func (d *Daemon) ended(now time.Time, j *job, kind bbtgrant.Outcome, crashed bool) {
	if j.target.Endpoint == "" {
		return
	}
	target := j.target
	j.target = bbtsuspect.Crash{}
	if !crashed {
		d.tracker.End(target.Endpoint, j.print, j.aloneOnly, kind == bbtgrant.Finished)
		return
	}
	d.counters.Add("crashes-suspected", 1)
	for _, n := range d.tracker.Crashed(now, target) {
		for _, peer := range d.member.Neighbours() {
			d.peers.Send(peer, n)
		}
	}
	d.release(j, &target, false)
}

// conclude settles what a dispatch that has ended was charged and suspected
// for.
func (d *Daemon) conclude(now time.Time, j *job, ev finished) {
	d.ended(now, j, ev.outcome.Kind, ev.crashed)
	if ev.started || ev.outcome.Kind == bbtgrant.Cancelled {
		d.settle(now, j, ev.outcome.Output)
		d.release(j, nil, ev.outcome.Kind == bbtgrant.Finished)
	}
}

// claimRepeat asks the guard anew before a request is repeated that may have
// taken an endpoint down.
func (d *Daemon) claimRepeat(now time.Time, j *job) {
	contract, ok := d.config.Contract(j.req.Account())
	delete(d.jobs, j.id)
	d.doEntry(now, d.entry.Cancel(now, j.id))
	if !ok || j.crashes >= contract.Repeats(j.req.Pool()) {
		d.settle(now, j, 0)
		j.refuse(j.last)
		return
	}
	j.crashes++
	d.counters.Retried(bbtverdict.ReasonEndpointLost)
	d.claim(now, j, contract)
}
