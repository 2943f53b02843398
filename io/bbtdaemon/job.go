package bbtdaemon

import (
	"context"

	"bluebelltray"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtsuspect"
	"bluebelltray/core/bbtverdict"
)

// job is a request in progress. An at-most-once call of a local caller has two
// jobs: the caller's, from newJob, and the one that is scheduled, from newCallJob.
type job struct {
	ctx         context.Context // the caller's, or a context of the daemon if from newCallJob
	cancel      func()          // cancels ctx; nil if ctx is the caller's
	call        *call           // the at-most-once call; nil for other requests
	req         bluebelltray.Request
	id          bbtgrant.RequestID
	result      chan result
	charged     bool              // the account was charged and the charge is not settled yet
	claim       bbtsuspect.CallID // claim at the request's coordinator, pending or admitted; zero if none
	isolated    bool              // must not share an endpoint with another isolated request
	crashTarget bbtsuspect.Crash  // endpoint and incarnation of the last dispatch, to report a crash
	crashes     int               // dispatches that may have crashed an endpoint
	dispatched  bool              // a dispatch is in progress or its response has started
	mayHaveRun  bool              // a dispatch failed after it may have run
	lastErr     *bbtverdict.Error // error of the last failed dispatch
}

// result is a response or the error in its place.
type result struct {
	response bluebelltray.Response
	err      *bbtverdict.Error
}

// newJob returns a job for the request of a caller.
func newJob(ctx context.Context, req bluebelltray.Request) *job {
	return &job{ctx: ctx, req: req, result: make(chan result, 1)}
}
