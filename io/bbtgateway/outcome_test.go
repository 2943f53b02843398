package bbtgateway

import (
	"context"
	"testing"

	"bluebelltray/core/bbtschedule"
)

func TestDispatchWithoutConnectionHasNotRun(t *testing.T) {
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name string
		ctx  context.Context
		open bool
		want bbtschedule.Outcome
		ran  bool
	}{
		{"caller left while connecting", gone, false, bbtschedule.Unused, false},
		{"caller left later", gone, true, bbtschedule.Cancelled, true},
		{"refused connection", t.Context(), false, bbtschedule.Unreachable, false},
		{"connection lost", t.Context(), true, bbtschedule.Broken, true},
	} {
		a := &answer{}
		a.link.open.Store(c.open)
		if got := a.outcomeOf(c.ctx); got != c.want || mayHaveRun(got) != c.ran {
			t.Errorf("%s: got %v, may have run %v; want %v, %v", c.name, got, mayHaveRun(got), c.want, c.ran)
		}
	}
}
