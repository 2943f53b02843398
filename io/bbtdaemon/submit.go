package bbtdaemon

import (
	"context"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtroute"
	"bluebelltray/core/bbtverdict"
)

// overloadedRetryAfter is the retry delay sent to callers of an overloaded
// host.
const overloadedRetryAfter = time.Second

var _ bluebelltray.Scheduler = (*Daemon)(nil)

// Addresses returns the addresses to which callers of an account connect, and
// how long callers may cache them.
func (d *Daemon) Addresses(account bbtfleet.AccountID) ([]string, time.Duration, error) {
	reply := make(chan addressesResult, 1)
	if !d.offer(addressesRequested{account, reply}) {
		return nil, 0, overloadedError()
	}
	select {
	case found := <-reply:
		if !found.known {
			return nil, 0, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonUnknownAccount)
		}
		return found.addresses, d.lifetime, nil
	case <-d.ctx.Done():
		return nil, 0, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonDraining)
	}
}

// Submit schedules a request and waits until a response starts or the request
// fails.
func (d *Daemon) Submit(ctx context.Context, r bluebelltray.Request) (bluebelltray.Response, error) {
	j := newJob(ctx, r)
	if !d.offer(requestSubmitted{j}) {
		return nil, overloadedError()
	}
	select {
	case res := <-j.result:
		if res.err != nil {
			return nil, res.err
		}
		return res.response, nil
	case <-d.ctx.Done():
		return nil, bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonDraining)
	}
}

// overloadedError returns the error for a request to a host whose event queue
// is full.
func overloadedError() *bbtverdict.Error {
	return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonOverloaded,
		bbtverdict.WithRetryAfter(overloadedRetryAfter))
}

// submit validates a request against the configuration and admits it.
func (d *Daemon) submit(now time.Time, j *job) {
	if d.config == nil {
		j.refuse(bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonStaleView))
		return
	}
	if _, ok := d.config.Contract(j.req.Account()); !ok {
		j.refuse(bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonUnknownAccount))
		return
	}
	if _, ok := d.pools[j.req.Pool()]; !ok {
		j.refuse(bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonUnknownPool))
		return
	}
	context.AfterFunc(j.ctx, func() { d.post(callerDisconnected{j}) })
	d.counters.Add("requests", 1)
	d.admit(now, j)
}

// startJob starts an admitted job. A request with a ticket goes through the
// executor. So does a request that its contract does not allow to be retried, if
// it is for a plain service or has an idempotency key. Without a key, such a
// request for a model engine bypasses the executor and is only guaranteed not to
// be dispatched again after a dispatch that may have run.
func (d *Daemon) startJob(now time.Time, j *job) {
	contract, ok := d.config.Contract(j.req.Account())
	if !ok {
		j.refuse(bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonUnknownAccount))
		return
	}
	retryable := contract.MaxRetries(j.req.Pool()) > 0
	bypassExecutor := retryable || d.pools[j.req.Pool()] == bbtfleet.ModelEngine && j.req.Key() == ""
	if bypassExecutor && j.req.Ticket() == "" {
		d.requestClaim(now, j, contract)
		return
	}
	d.submitCall(now, j, retryable)
}

// schedule submits a job to the entry role under its account's contract.
func (d *Daemon) schedule(now time.Time, j *job, contract bbtfleet.Contract) {
	d.lastRequestID++
	j.id = d.lastRequestID
	d.jobs[j.id] = j
	d.performEntryActions(now, d.entry.Submit(now, routeRequest(now, j, contract)))
}

// routeRequest returns the request as the entry role needs it for routing.
func routeRequest(now time.Time, j *job, c bbtfleet.Contract) bbtroute.Request {
	var deadline time.Time
	if c.Deadline() > 0 {
		deadline = now.Add(c.Deadline())
	}
	return bbtroute.Request{
		ID:           j.id,
		Pool:         j.req.Pool(),
		Account:      j.req.Account(),
		Tier:         c.Tier(),
		Deadline:     deadline,
		InputTokens:  j.req.PromptTokens(),
		OutputTokens: j.req.MaxOutputTokens(),
		Prefix:       j.req.Prefix(),
		PrefixTokens: j.req.PrefixTokens(),
		MaxRepeats:   j.retriesLeft(c),
		Isolated:     j.isolated,
	}
}

// retriesLeft returns how often the entry role may dispatch the job again after
// a dispatch that may have run.
func (j *job) retriesLeft(c bbtfleet.Contract) int {
	if j.call != nil {
		return 0
	}
	return max(0, c.MaxRetries(j.req.Pool())-j.crashes)
}

// cancelJob cancels a request whose caller has disconnected. For an at-most-once
// call, the executor decides whether it still runs. A dispatch in progress is
// left alone: its context has ended, and its end settles the request.
func (d *Daemon) cancelJob(now time.Time, j *job) {
	if j.call != nil {
		d.stepExecutor(now, bbtexec.CallerDisconnected{Call: j.call.id})
		j.refuse(bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonCancelled))
		return
	}
	if j.dispatched {
		return
	}
	if d.jobs[j.id] == j {
		delete(d.jobs, j.id)
		d.performEntryActions(now, d.entry.Cancel(now, j.id))
	}
	d.settleCharge(now, j, 0)
	d.releaseClaim(now, j, false)
	verdict := bbtverdict.NotRun
	if j.mayHaveRun {
		verdict = bbtverdict.MayHaveRun
	}
	j.refuse(bbtverdict.New(verdict, bbtverdict.ReasonCancelled))
}

// refuse finishes the job with an error.
func (j *job) refuse(err *bbtverdict.Error) { j.finish(result{err: err}) }

// finish delivers the result to the caller unless another result was delivered
// before. It reports whether it did.
func (j *job) finish(r result) bool {
	select {
	case j.result <- r:
		return true
	default:
		return false
	}
}

// lookUpAddresses returns the addresses to which callers of an account connect.
func (d *Daemon) lookUpAddresses(account bbtfleet.AccountID) addressesResult {
	if d.config == nil {
		return addressesResult{}
	}
	if _, ok := d.config.Contract(account); !ok {
		return addressesResult{}
	}
	return addressesResult{known: true, addresses: d.callerPlacement.Addresses(account)}
}
