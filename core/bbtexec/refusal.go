package bbtexec

import (
	"time"

	"bluebelltray/core/bbtverdict"
)

// refusal is the result of a call that ends without a response.
type refusal struct {
	verdict    bbtverdict.Verdict
	reason     bbtverdict.Reason
	retryAfter time.Duration
	ticket     string
}

// notRun returns a refusal of a request that did not run and, if it carried a
// ticket, never will.
func notRun(r bbtverdict.Reason) refusal { return refusal{verdict: bbtverdict.NotRun, reason: r} }

// mayHaveRun returns a refusal of a request that may or may not have run.
func mayHaveRun(r bbtverdict.Reason) refusal {
	return refusal{verdict: bbtverdict.MayHaveRun, reason: r}
}

// notRedeemed returns the refusal of a call that could not redeem its ticket. If
// the ticket was sent for the first time, the request did not run.
func notRedeemed(isFirstAttempt bool, r bbtverdict.Reason) refusal {
	if isFirstAttempt {
		return notRun(r)
	}
	return mayHaveRun(r)
}

// err returns the refusal as an error.
func (r refusal) err() *bbtverdict.Error {
	return bbtverdict.New(r.verdict, r.reason, bbtverdict.WithRetryAfter(r.retryAfter))
}
