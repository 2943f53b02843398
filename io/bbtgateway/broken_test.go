package bbtgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// Guards against an answer that broke off and looks complete to its caller, or goes on
// with the text of an error.
func TestBrokenAnswerDoesNotLookComplete(t *testing.T) {
	const (
		head     = "HTTP/1.1 200 OK\r\nCall-Id: $ID\r\nAnswer-Seal: seal\r\n"
		rawError = "HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\nfailed"
	)
	long := strings.Repeat("z", 600<<10) // longer than what is buffered
	sized := func(body string, missing int) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body)+missing, body)
	}
	chunked := func(body, rest string) string {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s", head, len(body), body, rest)
	}
	for name, text := range map[string]string{
		"length not reached":       sized(long, 9),
		"chunk missing":            chunked(long, ""),
		"chunk broken off":         chunked(long, "9\r\nzz"),
		"last chunk broken off":    chunked(long, "0\r\n"),
		"error's head as a chunk":  chunked(long, rawError),
		"chunk of negative length": chunked(long, "-1\r\n"),
	} {
		for _, target := range []string{"/once/a", "/again/a"} {
			g := newTestGateway(t, 2, respondRaw(text), respond(200, "other"))
			resp, body, err := g.send(http.MethodPost, target, "x")
			if err == nil || resp == nil || strings.Trim(body, "z") != "" || g.requestCount() != 1 {
				t.Errorf("%s, %s: got %d bytes that end in %q, %v, of %d runs, want a part of one answer and an error",
					target, name, len(body), body[max(0, len(body)-40):], err, g.requestCount())
			}
		}
	}
	for name, text := range map[string]string{
		"length not reached":      sized("ok", 9),
		"chunk missing":           chunked("ok", ""),
		"error's head as a chunk": chunked("ok", rawError),
	} {
		for target, want := range map[string]int{"/once/a": 502, "/again/a": 200} {
			g := newTestGateway(t, 2, respondRaw(text), respond(200, "other"))
			resp, body, err := g.send(http.MethodPost, target, "x")
			if err != nil || resp.StatusCode != want || want == 200 && body != "other" || want != 200 && body != "" {
				t.Errorf("short, %s, %s: got %v %q, %v, want status %d", target, name, resp, body, err, want)
			}
		}
	}
	// An error behind a complete answer belongs to no request.
	for _, target := range []string{"/once/a", "/again/a"} {
		g := newTestGateway(t, 1, respondRaw(sized("ok", 0)+rawError), respond(200, "other"))
		for _, want := range []string{"ok", "other"} {
			if resp, body, err := g.send(http.MethodPost, target, "x"); err != nil || resp.StatusCode != 200 || body != want {
				t.Errorf("behind the answer, %s: got %v %q, %v, want %q", target, resp, body, err, want)
			}
		}
	}
}
