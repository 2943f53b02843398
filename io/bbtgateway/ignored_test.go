package bbtgateway

import (
	"fmt"
	"testing"
)

// Guards against a line for each answer of an endpoint with a header that is not
// understood, and against memory that grows with such endpoints.
func TestIgnoredHeaderIsNewOnceForAnEndpoint(t *testing.T) {
	var i ignoredHeaders
	for _, step := range []struct {
		h    ignoredHeader
		want bool
	}{{ignoredHeader{"a", "x"}, true}, {ignoredHeader{"a", "x"}, false}, {ignoredHeader{"a", "y"}, true}, {ignoredHeader{"b", "x"}, true}} {
		if got := i.isNew(step.h); got != step.want {
			t.Errorf("%v: got new %t, want %t", step.h, got, step.want)
		}
	}
	for n := range 3 * maxIgnoredKeys {
		i.isNew(ignoredHeader{fmt.Sprint(n), "x"})
	}
	if got := len(i.seen); got > maxIgnoredKeys {
		t.Errorf("got %d headers remembered, want at most %d", got, maxIgnoredKeys)
	}
}
