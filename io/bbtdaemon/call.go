package bbtdaemon

import (
	"context"

	"bluebelltray"
	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtverdict"
)

// call is one request that runs at most once: a caller's, or one that a peer
// forwarded.
type call struct {
	id     bbtexec.CallID
	req    bluebelltray.Request
	result chan result // nil for a forwarded call
	job    *job        // nil while the request is not scheduled
}

// finish hands the result to the caller, if it is connected to this host.
func (c *call) finish(r result) {
	if c.result == nil {
		return
	}
	select {
	case c.result <- r:
	default:
	}
}

// newCallJob returns the job of a call as the scheduler knows it. It goes on after its
// caller has left, so that a resend finds the outcome.
func (d *Daemon) newCallJob(c *call) *job {
	ctx, cancel := context.WithCancel(d.ctx)
	return &job{ctx: ctx, cancel: cancel, req: c.req, call: c, result: make(chan result, 1)}
}

// refusalError adds the enclosed ticket to a refusal.
func refusalError(r bbtexec.Refuse) *bbtverdict.Error {
	if r.Ticket == "" {
		return r.Err
	}
	return bbtverdict.New(r.Err.Verdict(), r.Err.Reason(),
		bbtverdict.WithRetryAfter(r.Err.RetryAfter()),
		bbtverdict.WithCause(r.Err.Unwrap()),
		bbtverdict.WithTicket(r.Ticket))
}
