package bbtdaemon

import (
	"context"

	"bluebelltray"
	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtverdict"
)

// call is an at-most-once request, from a local caller or forwarded by a peer.
type call struct {
	id     bbtexec.CallID // number in the executor; the job's claim has a number of its own
	req    bluebelltray.Request
	result chan result // nil for a forwarded call
	job    *job        // nil while the request is not scheduled
}

// finish delivers the result to the caller, if the caller is connected to this
// host.
func (c *call) finish(r result) {
	if c.result == nil {
		return
	}
	select {
	case c.result <- r:
	default:
	}
}

// newCallJob returns the job under which a call is scheduled. Its context does
// not end when the caller disconnects, so that the caller can retrieve the
// outcome by resending the request.
func (d *Daemon) newCallJob(c *call) *job {
	ctx, cancel := context.WithCancel(d.ctx)
	return &job{ctx: ctx, cancel: cancel, req: c.req, call: c, result: make(chan result, 1)}
}

// refusalError returns the error of a refusal, with its ticket if it has one.
func refusalError(r bbtexec.Refuse) *bbtverdict.Error {
	if r.Ticket == "" {
		return r.Err
	}
	return bbtverdict.New(r.Err.Verdict(), r.Err.Reason(),
		bbtverdict.WithRetryAfter(r.Err.RetryAfter()),
		bbtverdict.WithCause(r.Err.Unwrap()),
		bbtverdict.WithTicket(r.Ticket))
}
