package bbtdaemon

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtlimit"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtverdict"
)

// heldJob is a job that waits until its account has credit on this host. Credit is
// the part of the account's rates that the host may spend. A host that is short of
// it requests more from other hosts, whose answers are grants.
type heldJob struct {
	job   *job
	until time.Time
}

// admit applies the rate limits of a job's account: it starts the job, holds it
// while other hosts are asked for credit, or refuses it. Jobs of an account
// with held jobs queue behind them.
func (d *Daemon) admit(now time.Time, j *job) {
	account := j.req.Account()
	if len(d.awaitingCredit[account]) > 0 {
		d.holdForCredit(j, now.Add(bbtlimit.CreditRequestTimeout))
		return
	}
	d.applyDecision(now, j, d.limiter.Admit(now, account, j.maxTotalTokens()))
}

// applyDecision applies the limiter's decision for a job.
func (d *Daemon) applyDecision(now time.Time, j *job, dec bbtlimit.Decision) {
	d.sendLimitMessages(dec.Sends())
	switch dec.Outcome() {
	case bbtlimit.Admitted:
		j.charged = true
		d.startJob(now, j)
	case bbtlimit.Waiting:
		d.holdForCredit(j, dec.Until())
	default:
		j.refuse(bbtverdict.FromError(dec.Err(), bbtverdict.ReasonRequestRate))
	}
}

// holdForCredit holds a job until its account has credit, but no longer than
// until.
func (d *Daemon) holdForCredit(j *job, until time.Time) {
	d.counters.Add("requests-held", 1)
	d.awaitingCredit[j.req.Account()] = append(d.awaitingCredit[j.req.Account()], heldJob{j, until})
}

// resumeHeld lets the limiter decide again on the held jobs of an account whose
// callers are still connected.
func (d *Daemon) resumeHeld(now time.Time, account bbtfleet.AccountID) {
	waiting := d.awaitingCredit[account]
	delete(d.awaitingCredit, account)
	for _, h := range waiting {
		if h.job.ctx.Err() == nil {
			d.applyDecision(now, h.job, d.limiter.Resume(now, account, h.job.maxTotalTokens()))
		}
	}
}

// resumeExpired resumes the accounts with held jobs whose wait has expired.
func (d *Daemon) resumeExpired(now time.Time) {
	for account, waiting := range d.awaitingCredit {
		expired := slices.ContainsFunc(waiting, func(h heldJob) bool { return !now.Before(h.until) })
		if expired {
			d.resumeHeld(now, account)
		}
	}
}

// handleLimitMessage handles the credit requests and grants of another host.
func (d *Daemon) handleLimitMessage(now time.Time, from bbtfleet.HostID, m bbtlimit.Message) {
	sends, ready := d.limiter.Receive(now, from, m)
	d.sendLimitMessages(sends)
	for _, account := range ready {
		d.resumeHeld(now, account)
	}
}

// sendLimitMessages sends credit requests and grants.
func (d *Daemon) sendLimitMessages(sends []bbtlimit.Send) {
	for _, s := range sends {
		d.peers.Send(s.To, s.Message)
	}
}

// updateLimiterHosts tells the limiter which hosts are listed as live and which
// of them are reachable.
func (d *Daemon) updateLimiterHosts() {
	listed := liveHosts(d.hosts)
	reachable := slices.DeleteFunc(slices.Clone(listed), func(id bbtfleet.HostID) bool {
		return id != d.id && d.detector.State(id) >= bbtmember.Leaving
	})
	d.limiter.SetHosts(listed, reachable)
}

// maxTotalTokens returns the maximum number of prompt and output tokens that
// the request may use.
func (j *job) maxTotalTokens() int { return j.req.PromptTokens() + j.req.MaxOutputTokens() }

// settleCharge replaces the charge for a job's maximum number of tokens by the
// tokens used. A job without output is charged nothing.
func (d *Daemon) settleCharge(now time.Time, j *job, output int) {
	if !j.charged {
		return
	}
	j.charged = false
	used := 0
	if output > 0 {
		used = j.req.PromptTokens() + output
	}
	d.limiter.Settle(now, j.req.Account(), j.maxTotalTokens(), used)
}
