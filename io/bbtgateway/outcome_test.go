package bbtgateway

import (
	"context"
	"testing"

	"bluebelltray/core/bbtschedule"
)

func TestDispatchWithoutConnectionHasNotRun(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name      string
		ctx       context.Context
		connected bool
		want      bbtschedule.Outcome
		ran       bool
	}{
		{"caller disconnected before the connection was open", cancelled, false, bbtschedule.Unused, false},
		{"caller disconnected later", cancelled, true, bbtschedule.Cancelled, true},
		{"connection refused", t.Context(), false, bbtschedule.Unreachable, false},
		{"connection lost", t.Context(), true, bbtschedule.ConnectionLost, true},
	} {
		a := &attempt{}
		a.connTrace.connected.Store(c.connected)
		if got := a.failureOutcome(c.ctx); got != c.want || got.MayHaveRun() != c.ran {
			t.Errorf("%s: got %v, may have run %v; want %v, %v", c.name, got, got.MayHaveRun(), c.want, c.ran)
		}
	}
}
