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

// maxHeldBytes bounds an answer that the ledger takes.
const maxHeldBytes = 4 << 20

// errAnswerTooLarge says that an answer exceeds what the ledger takes.
var errAnswerTooLarge = errors.Newf("answer exceeds %d bytes", maxHeldBytes)

// attempt is the dispatch of a call that runs at most once. It reads the whole
// answer before anybody gets it.
type attempt struct {
	dispatch
	number bbtledger.Dispatch
}

// run sends the call and posts what came of it.
func (x *attempt) run() {
	answer, tokens, err := x.answer()
	x.daemon.post(attempted{attempt: x, answer: answer, tokens: tokens, err: err})
}

// answer sends the call and reads the whole answer.
func (x *attempt) answer() (bbtledger.Response, int, error) {
	ans, err := x.daemon.backend.Do(x.job.ctx, x.endpoint, x.job.req, x.notAfter)
	if err != nil {
		return bbtledger.Response{}, 0, err
	}
	defer ans.Close()
	body, err := io.ReadAll(io.LimitReader(ans, maxHeldBytes+1))
	if err != nil {
		return bbtledger.Response{}, 0, err
	}
	if len(body) > maxHeldBytes {
		return bbtledger.Response{}, 0, bbtverdict.New(bbtverdict.MayHaveRun,
			bbtverdict.ReasonResponseIncomplete, bbtverdict.WithCause(errAnswerTooLarge))
	}
	return bbtledger.NewResponse(ans.Status(), ans.ContentType(), body), countEvents(body), nil
}

// attempted says what came of an attempt.
type attempted struct {
	attempt *attempt
	answer  bbtledger.Response
	tokens  int
	err     error
}

func (ev attempted) apply(d *Daemon, now time.Time) {
	j := ev.attempt.job
	j.dispatched = false
	id, number := j.call.id, ev.attempt.number
	outcome := bbtroute.Outcome{Kind: bbtgrant.Finished, OutputTokens: ev.tokens}
	switch err := bbtverdict.FromError(ev.err, bbtverdict.ReasonEndpointLost); {
	case ev.err == nil:
		d.step(now, bbtexec.Finished{Call: id, Dispatch: number, Response: ev.answer})
	case err.Verdict() == bbtverdict.NotRun:
		outcome.Kind = bbtgrant.Refused
		j.last = err
		d.counters.Add("dispatch-failures", 1)
		d.step(now, bbtexec.NotExecuted{Call: id, Dispatch: number})
	default:
		outcome.Kind = bbtgrant.Lost
		d.counters.Add("dispatch-failures", 1)
		d.step(now, bbtexec.Lost{Call: id, Dispatch: number, Reason: err.Reason()})
	}
	if ev.err != nil && brokenOff(outcome.Kind, bbtverdict.FromError(ev.err, bbtverdict.ReasonEndpointLost)) {
		d.crashed(now, j)
	}
	d.doEntry(now, d.entry.Finished(now, j.id, outcome))
	if outcome.Kind != bbtgrant.Refused {
		d.release(now, j, outcome.Kind == bbtgrant.Finished)
		delete(d.jobs, j.id)
		j.cancel()
	}
}
