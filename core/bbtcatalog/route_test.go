package bbtcatalog

import "testing"

// Guards against a host that ends requests without an answer since a peer of another
// version has told it of a kind of route that it does not know.
func TestRouteOfUnknownKindRunsAtMostOnce(t *testing.T) {
	for kind, want := range map[Kind]string{AtMostOnce: "at-most-once", Idempotent: "idempotent", Streaming: "streaming", 3: "at-most-once", 255: "at-most-once"} {
		r := Route{Kind: kind}
		if got := r.Kind.String(); got != want {
			t.Errorf("kind %d: got %q, want %q", kind, got, want)
		}
		if got := r.Retryable(); got != (kind == Idempotent) {
			t.Errorf("kind %d: got retryable %t", kind, got)
		}
	}
}
