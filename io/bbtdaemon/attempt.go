package bbtdaemon

import (
	"io"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtroute"
	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

// maxResponseBytes limits the body of a response that the ledger stores.
const maxResponseBytes = 4 << 20

// errResponseTooLarge is the cause of an error for a response that exceeds
// maxResponseBytes.
var errResponseTooLarge = errors.Newf("response exceeds %d bytes", maxResponseBytes)

// attempt is one dispatch of an at-most-once call to an endpoint. It reads the
// whole response before the caller receives any of it. The attempts that a caller
// counts, as in bbthttp.Attempt, are something else: each is one sending of the
// request to a host.
type attempt struct {
	dispatch
	number bbtledger.Dispatch // among the dispatches of the call's ticket
}

// run sends the call and posts the outcome.
func (x *attempt) run() {
	response, tokens, err := x.response()
	x.daemon.post(attemptFinished{attempt: x, response: response, tokens: tokens, err: err})
}

// response sends the call and reads the whole response.
func (x *attempt) response() (bbtledger.Response, int, error) {
	resp, err := x.daemon.backend.Do(x.job.ctx, x.endpoint, x.job.req, x.notAfter)
	if err != nil {
		return bbtledger.Response{}, 0, err
	}
	defer resp.Close()
	body, err := io.ReadAll(io.LimitReader(resp, maxResponseBytes+1))
	if err != nil {
		return bbtledger.Response{}, 0, err
	}
	if len(body) > maxResponseBytes {
		return bbtledger.Response{}, 0, bbtverdict.New(bbtverdict.MayHaveRun,
			bbtverdict.ReasonResponseIncomplete, bbtverdict.WithCause(errResponseTooLarge))
	}
	return bbtledger.NewResponse(resp.Status(), resp.ContentType(), body), countEvents(body), nil
}

// attemptFinished reports the outcome of an attempt.
type attemptFinished struct {
	attempt  *attempt
	response bbtledger.Response
	tokens   int
	err      error
}

func (ev attemptFinished) apply(d *Daemon, now time.Time) {
	j := ev.attempt.job
	j.dispatched = false
	id, number := j.call.id, ev.attempt.number
	outcome := bbtroute.Outcome{Kind: bbtgrant.Finished, OutputTokens: ev.tokens}
	switch err := bbtverdict.FromError(ev.err, bbtverdict.ReasonEndpointLost); {
	case ev.err == nil:
		d.stepExecutor(now, bbtexec.Finished{Call: id, Dispatch: number, Response: ev.response})
	case err.Verdict() == bbtverdict.NotRun:
		outcome.Kind = bbtgrant.Refused
		j.lastErr = err
		d.counters.Add("dispatch-failures", 1)
		d.stepExecutor(now, bbtexec.NotExecuted{Call: id, Dispatch: number})
	default:
		outcome.Kind = bbtgrant.Lost
		d.counters.Add("dispatch-failures", 1)
		d.stepExecutor(now, bbtexec.Lost{Call: id, Dispatch: number, Reason: err.Reason()})
	}
	if ev.err != nil && isCrashSuspected(outcome.Kind, bbtverdict.FromError(ev.err, bbtverdict.ReasonEndpointLost)) {
		d.crashed(now, j)
	}
	d.performEntryActions(now, d.entry.Finished(now, j.id, outcome))
	if outcome.Kind != bbtgrant.Refused {
		d.releaseClaim(now, j, outcome.Kind == bbtgrant.Finished)
		delete(d.jobs, j.id)
		j.cancel()
	}
}
