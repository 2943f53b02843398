package bbtdaemon

import (
	"context"

	"bluebelltray"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtsuspect"
	"bluebelltray/core/bbtverdict"
)

// job is one request that a caller waits for.
type job struct {
	ctx         context.Context // ends when the caller leaves
	cancel      func()          // ends ctx; nil for a caller's own
	call        *call           // of a request that runs at most once; otherwise nil
	req         bluebelltray.Request
	id          bbtgrant.RequestID
	result      chan result
	charged     bool              // the account was charged
	claim       bbtsuspect.CallID // in force at the request's guard; zero if none
	isolated    bool              // runs on an endpoint without other suspects
	crashTarget bbtsuspect.Crash  // the endpoint of the last dispatch, as a crash would name it
	crashes     int               // dispatches that may have taken an endpoint down
	dispatched  bool              // a dispatch is under way
	mayHaveRun  bool              // a dispatch that may have run was lost
	lastErr     *bbtverdict.Error // how the latest dispatch failed
}

// result is the head of the answer, or the refusal.
type result struct {
	response bluebelltray.Response
	err      *bbtverdict.Error
}

// newJob returns the job of a request.
func newJob(ctx context.Context, req bluebelltray.Request) *job {
	return &job{ctx: ctx, req: req, result: make(chan result, 1)}
}
