package bbtdaemon

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtlimit"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtverdict"
)

// held is a job that waits for credit of its account.
type held struct {
	job   *job
	until time.Time
}

// admit passes a job on within its account's rates, holds it back while other
// hosts are asked for credit, or refuses it.
func (d *Daemon) admit(now time.Time, j *job) {
	account := j.req.Account()
	if len(d.held[account]) > 0 {
		d.hold(j, now.Add(bbtlimit.CreditRequestTimeout))
		return
	}
	d.decide(now, j, d.limiter.Admit(now, account, j.expected()))
}

// decide follows the limiter's decision for a job.
func (d *Daemon) decide(now time.Time, j *job, dec bbtlimit.Decision) {
	d.sendLimits(dec.Sends())
	switch dec.Outcome() {
	case bbtlimit.Admitted:
		j.admitted = true
		d.begin(now, j)
	case bbtlimit.Waiting:
		d.hold(j, dec.Until())
	default:
		j.refuse(bbtverdict.FromError(dec.Err(), bbtverdict.ReasonRequestRate))
	}
}

// hold keeps a job back until its account has credit, at most until the given
// time.
func (d *Daemon) hold(j *job, until time.Time) {
	d.counters.Add("requests-held", 1)
	d.held[j.req.Account()] = append(d.held[j.req.Account()], held{j, until})
}

// resume decides the jobs of an account again that wait for credit.
func (d *Daemon) resume(now time.Time, account bbtfleet.AccountID) {
	waiting := d.held[account]
	delete(d.held, account)
	for _, h := range waiting {
		if h.job.ctx.Err() == nil {
			d.decide(now, h.job, d.limiter.Resume(now, account, h.job.expected()))
		}
	}
}

// resumeDue decides the jobs whose wait for credit is over.
func (d *Daemon) resumeDue(now time.Time) {
	for account, waiting := range d.held {
		due := slices.ContainsFunc(waiting, func(h held) bool { return !now.Before(h.until) })
		if due {
			d.resume(now, account)
		}
	}
}

// receiveLimits takes another host's asks and grants of credit.
func (d *Daemon) receiveLimits(now time.Time, from bbtfleet.HostID, m bbtlimit.Message) {
	sends, ready := d.limiter.Receive(now, from, m)
	d.sendLimits(sends)
	for _, account := range ready {
		d.resume(now, account)
	}
}

// sendLimits sends asks and grants of credit.
func (d *Daemon) sendLimits(sends []bbtlimit.Send) {
	for _, s := range sends {
		d.peers.Send(s.To, s.Message)
	}
}

// limitHosts tells the limiter which hosts are listed and which can be reached.
func (d *Daemon) limitHosts() {
	listed := live(d.hosts)
	reachable := slices.DeleteFunc(slices.Clone(listed), func(id bbtfleet.HostID) bool {
		return id != d.id && d.member.State(id) >= bbtmember.Leaving
	})
	d.limiter.SetHosts(listed, reachable)
}

// expected returns the tokens that the job's request is expected to use.
func (j *job) expected() int { return j.req.PromptTokens() + j.req.MaxTokens() }

// settle corrects the tokens that the job's account was charged for.
func (d *Daemon) settle(now time.Time, j *job, output int) {
	if !j.admitted {
		return
	}
	j.admitted = false
	used := 0
	if output > 0 {
		used = j.req.PromptTokens() + output
	}
	d.limiter.Settle(now, j.req.Account(), j.expected(), used)
}
