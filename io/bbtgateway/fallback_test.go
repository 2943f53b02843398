package bbtgateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// respondChunked sends a status, the Answer-Seal header and a body without its length.
func respondChunked(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Answer-Seal", "seal")
		w.WriteHeader(status)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, body)
	}
}

// Guards against a long error response without length that is cut to what the gateway
// keeps, and looks complete to its caller.
func TestLongErrorWithoutLengthIsNeverCut(t *testing.T) {
	long, most := strings.Repeat("z", 300<<10), strings.Repeat("z", 256<<10)
	for name, c := range map[string]struct {
		endpoints int
		script    script
		status    int
		want      string
		seal      string
	}{
		"no other endpoint":                     {1, script{respondChunked(500, long)}, 502, "", ""},
		"no other endpoint, as long as is kept": {1, script{respondChunked(500, most)}, 500, most, "seal"},
		"another endpoint":                      {2, script{respondChunked(500, long), respond(200, "ok")}, 200, "ok", "seal"},
		"last attempt":                          {2, script{respondChunked(500, long)}, 500, long, "seal"},
	} {
		g := newTestGateway(t, c.endpoints, c.script...)
		resp, body, err := g.send(http.MethodGet, "/again/", "", "Left-Ms", "700")
		if err != nil || resp.StatusCode != c.status || body != c.want || resp.Header.Get("Answer-Seal") != c.seal {
			t.Errorf("%s: got %v, %d bytes, %v, want status %d and %d bytes", name, resp, len(body), err, c.status, len(c.want))
		}
	}
}
