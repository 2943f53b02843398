package bbtgateway

import (
	"context"

	"bluebelltray/core/bbtverdict"
)

// Stop ends all requests of which the caller has no part of an answer, so that each gets
// one before the process ends: not run, or may have run if an endpoint has it.
func (g *Gateway) Stop() { g.stop() }

// endOnStop calls cancel when the gateway is stopped, unless the caller has a part of the
// answer by then. The returned function ends that.
func (x *exchange) endOnStop(cancel context.CancelFunc) func() bool {
	return context.AfterFunc(x.gateway.stopped, func() {
		if !x.answering.Load() {
			cancel()
		}
	})
}

// endReason returns why a request has ended that neither its caller nor an endpoint did.
func (x *exchange) endReason() bbtverdict.Reason {
	if x.gateway.stopped.Err() != nil {
		return bbtverdict.ReasonDraining
	}
	return bbtverdict.ReasonTimeout
}
