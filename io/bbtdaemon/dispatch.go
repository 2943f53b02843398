package bbtdaemon

import (
	"io"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtroute"
	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

// dispatch sends one request to one endpoint under a permit.
type dispatch struct {
	daemon   *Daemon
	job      *job
	endpoint bbtfleet.Endpoint
	notAfter time.Time // expiry of the permit
}

// run sends the request and delivers the response to the caller once its
// headers have arrived.
func (x *dispatch) run() {
	resp, err := x.daemon.backend.Do(x.job.ctx, x.endpoint, x.job.req, x.notAfter)
	if err != nil {
		x.fail(bbtverdict.FromError(err, bbtverdict.ReasonEndpointLost))
		return
	}
	tracked := &trackedResponse{Response: resp, daemon: x.daemon, job: x.job}
	if !x.job.finish(result{response: tracked}) {
		tracked.Close()
	}
}

// fail reports a dispatch that returned no response.
func (x *dispatch) fail(err *bbtverdict.Error) {
	kind := bbtgrant.Lost
	switch {
	case x.job.ctx.Err() != nil:
		kind = bbtgrant.Cancelled
		x.job.refuse(err)
	case err.Verdict() == bbtverdict.NotRun:
		kind = bbtgrant.Refused
	}
	ev := dispatchFinished{id: x.job.id, outcome: bbtroute.Outcome{Kind: kind}, crashed: isCrashSuspected(kind, err)}
	x.daemon.post(dispatchFailed{ev, err})
}

// isCrashSuspected reports whether a dispatch was lost for a reason other than
// a timeout, such as a closed connection, which suggests that the endpoint
// crashed.
func isCrashSuspected(kind bbtgrant.Outcome, err *bbtverdict.Error) bool {
	return kind == bbtgrant.Lost && err.Reason() != bbtverdict.ReasonEndpointTimeout
}

// dispatchFailed reports a dispatch that returned no response, and the error.
type dispatchFailed struct {
	dispatchFinished
	err *bbtverdict.Error
}

// apply records the error before the entry role decides whether to retry,
// because a refusal reports the job's last error.
func (ev dispatchFailed) apply(d *Daemon, now time.Time) {
	j := d.jobs[ev.id]
	if j != nil {
		j.lastErr, j.dispatched = ev.err, false
		j.mayHaveRun = j.mayHaveRun || ev.err.Verdict() == bbtverdict.MayHaveRun
		d.counters.Add("dispatch-failures", 1)
	}
	ev.dispatchFinished.apply(d, now)
	if j != nil && j.ctx.Err() != nil {
		d.cancelJob(now, j)
	}
	if d.jobs[ev.id] != nil {
		d.counters.Retried(ev.err.Reason())
	}
}

// trackedResponse reports the progress of a response to the daemon.
type trackedResponse struct {
	bluebelltray.Response
	daemon        *Daemon
	job           *job
	sawFirstBytes bool
	ended         bool
	tokens        int
}

// Read reads from the response and reports its first bytes and its end.
func (r *trackedResponse) Read(p []byte) (int, error) {
	n, err := r.Response.Read(p)
	if n > 0 && !r.sawFirstBytes {
		r.sawFirstBytes = true
		r.daemon.post(firstTokenReceived{r.job.id})
	}
	r.tokens += countEvents(p[:n])
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		r.end(bbtgrant.Finished, nil)
	case r.job.ctx.Err() != nil:
		r.end(bbtgrant.Cancelled, nil)
	default:
		r.end(bbtgrant.Lost, err)
	}
	return n, err
}

// Close closes the response and cancels the dispatch if it has not ended.
func (r *trackedResponse) Close() error {
	err := r.Response.Close()
	r.end(bbtgrant.Cancelled, nil)
	return err
}

// end reports the end of the dispatch, once.
func (r *trackedResponse) end(kind bbtgrant.Outcome, err error) {
	if r.ended {
		return
	}
	r.ended = true
	r.daemon.post(dispatchFinished{
		id:      r.job.id,
		outcome: bbtroute.Outcome{Kind: kind, OutputTokens: r.tokens},
		started: true,
		crashed: isCrashSuspected(kind, bbtverdict.FromError(err, bbtverdict.ReasonEndpointLost)),
	})
}

// countEvents returns the number of server-sent events whose terminating pair
// of newlines lies in p. It is used as the number of output tokens, for which the
// account is charged and from which the owner estimates an endpoint's pace and the
// length of outputs. Each event is taken to carry one token, also the closing event.
func countEvents(p []byte) int {
	n := 0
	for i := 1; i < len(p); i++ {
		if p[i] == '\n' && p[i-1] == '\n' {
			n++
		}
	}
	return n
}
