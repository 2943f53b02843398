package bbthttp

import (
	"errors"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"bluebelltray/core/bbtverdict"
)

// FuzzParse checks that an invalid request is refused with NotRun and
// ReasonBadRequest, and that the fields of a valid one are within their limits.
func FuzzParse(f *testing.F) {
	f.Add("/v1/completions", "a", "k", "1", `{"model":"m","prompt":"p","max_tokens":3}`)
	f.Add("/v1/completions", "a", "", "", `{"model":"m","prompt":null}`)
	f.Add("/v1/completions", strings.Repeat("a", maxNameBytes+1), "", "", `{"model":"m","prompt":"p"}`)
	f.Add("/v1/completions", "a", strings.Repeat("k", maxKeyBytes+1), "", `{"model":"m","prompt":"p"}`)
	f.Add("/v1/completions", "a", "", "", `{"model":"m","prompt":"p","max_tokens":131073}`)
	f.Add("/services/billing/a%2Fb?x=1", "a", "", "2", "body")
	f.Add("/services//x", "a", "", "x", "")
	f.Add("/v1/completions?account=q", "", "", "", `{"model":1}`)
	f.Fuzz(func(t *testing.T, target, account, key, attempt, body string) {
		u, err := url.ParseRequestURI(target)
		if err != nil {
			t.Skip()
		}
		h := http.Header{HeaderAccount: {account}, HeaderIdempotencyKey: {key}, HeaderAttempt: {attempt}}
		req, err := parseRequest(&http.Request{Method: http.MethodPost, URL: u, Header: h}, []byte(body))
		if err != nil {
			var e *bbtverdict.Error
			if !errors.As(err, &e) || e.Verdict() != bbtverdict.NotRun || e.Reason() != bbtverdict.ReasonBadRequest {
				t.Errorf("got error %v, want not-run with reason bad-request", err)
			}
			return
		}
		if n := len(req.Account()); n < 1 || n > maxNameBytes {
			t.Errorf("got an account of %d bytes, want 1 to %d", n, maxNameBytes)
		}
		if n := len(req.Pool()); n < 1 || n > maxNameBytes {
			t.Errorf("got a pool of %d bytes, want 1 to %d", n, maxNameBytes)
		}
		if n := len(req.Key()); n > maxKeyBytes {
			t.Errorf("got a key of %d bytes, want at most %d", n, maxKeyBytes)
		}
		if n := req.MaxOutputTokens(); u.Path == pathCompletions && (n < 1 || n > maxTokensLimit) {
			t.Errorf("got max_tokens %d, want 1 to %d", n, maxTokensLimit)
		}
		if p := req.Path(); p == "" || p[0] != '/' {
			t.Errorf("got path %q, want a leading slash", p)
		}
	})
}
