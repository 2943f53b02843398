package bbtgateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// breakOffLong sends the head of a response of 600 KiB and its first bytes, and then closes
// the connection, or nothing more.
func breakOffLong(sent int, closes bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Answer-Seal", "seal")
		w.Header().Set("Content-Length", fmt.Sprint(600<<10))
		_, _ = io.WriteString(w, strings.Repeat("z", sent))
		_ = http.NewResponseController(w).Flush()
		if closes {
			panic(http.ErrAbortHandler)
		}
		<-r.Context().Done()
	}
}

// Guards against callers whose connection is closed without a byte of an answer, since the
// endpoint broke off a long one before any of it was sent on.
func TestLongAnswerThatBreaksOffEarlyIsTold(t *testing.T) {
	for _, sent := range []int{0, 100, 3000, 200 << 10} {
		for _, c := range []struct {
			target string
			closes bool
			status int
			body   string
		}{
			{"/once/a", true, 502, ""},
			{"/once/a", false, 504, ""},
			{"/again/a", true, 200, "other"},
		} {
			g := newTestGateway(t, 2, breakOffLong(sent, c.closes), respond(200, "other"))
			resp, body, err := g.send(http.MethodPost, c.target, "x", "Left-Ms", "700")
			if err != nil || resp.StatusCode != c.status || body != c.body {
				t.Errorf("%s, %d bytes, closed %v: got %v, %d bytes, %v, want status %d", c.target, sent, c.closes, resp, len(body), err, c.status)
			}
		}
	}
}
