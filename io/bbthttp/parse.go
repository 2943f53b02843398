package bbthttp

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

// Shapes of callers' requests.
const (
	pathCompletions   = "/v1/completions"
	pathAddresses     = "/v1/addresses"
	prefixServices    = "/services/"
	charsPerToken     = 4
	defaultMaxTokens  = 16
	maxTokensAccepted = 1 << 17
	maxKeyBytes       = 256
	maxNameBytes      = 128
	prefixBytes       = 256
)

// completion is the part of a completions request that the scheduler reads.
type completion struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens *int            `json:"max_tokens"`
}

// text returns the prompt if it is a string, and its JSON text otherwise.
func (c completion) text() string {
	var s string
	if err := json.Unmarshal(c.Prompt, &s); err != nil {
		return string(c.Prompt)
	}
	return s
}

// badRequest returns a refusal of input that cannot be used.
func badRequest(format string, args ...any) *bbtverdict.Error {
	return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonBadRequest,
		bbtverdict.WithCause(errors.Newf(format, args...)))
}

// readBody reads the whole body within the limit.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, badRequest("body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, badRequest("body: %v", err)
	}
	return body, nil
}

// account returns the account that the request names.
func account(r *http.Request) (bbtfleet.AccountID, error) {
	a := r.Header.Get(HeaderAccount)
	if a == "" {
		a = r.URL.Query().Get("account")
	}
	if a == "" {
		return "", badRequest("header %s is missing", HeaderAccount)
	}
	if len(a) > maxNameBytes {
		return "", badRequest("account exceeds %d bytes", maxNameBytes)
	}
	return bbtfleet.AccountID(a), nil
}

// parse returns the request of r with the given body.
func parse(r *http.Request, body []byte) (*Request, error) {
	a, err := account(r)
	if err != nil {
		return nil, err
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return nil, badRequest("header %s exceeds %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	opts := []RequestOption{
		WithContent(r.Header.Get(headerContentType), body),
		WithTicket(r.Header.Get(HeaderTicket)),
		WithIdempotencyKey(key, attemptOf(r.Header.Get(HeaderAttempt))),
	}
	if r.URL.Path == pathCompletions {
		return parseCompletion(a, body, opts)
	}
	return parseService(a, r, opts)
}

// parseCompletion returns a model call.
func parseCompletion(a bbtfleet.AccountID, body []byte, opts []RequestOption) (*Request, error) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, badRequest("body is no completions request: %v", err)
	}
	if c.Model == "" || len(c.Model) > maxNameBytes {
		return nil, badRequest("field model must have 1 to %d bytes", maxNameBytes)
	}
	if len(c.Prompt) == 0 || string(c.Prompt) == "null" {
		return nil, badRequest("field prompt is missing")
	}
	limit := defaultMaxTokens
	if c.MaxTokens != nil {
		limit = *c.MaxTokens
	}
	if limit < 1 || limit > maxTokensAccepted {
		return nil, badRequest("field max_tokens is %d, must be 1 to %d", limit, maxTokensAccepted)
	}
	opts = append(opts, WithTokens(len(c.Prompt)/charsPerToken+1, limit), WithPrompt(c.text()))
	return NewRequest(a, bbtfleet.PoolID(c.Model), http.MethodPost, pathCompletions, opts...), nil
}

// parseService returns a plain service's call.
func parseService(a bbtfleet.AccountID, r *http.Request, opts []RequestOption) (*Request, error) {
	pool, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), prefixServices), "/")
	if pool == "" || len(pool) > maxNameBytes {
		return nil, badRequest("path must be %sPOOL/...", prefixServices)
	}
	path := "/" + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return NewRequest(a, bbtfleet.PoolID(pool), r.Method, path, opts...), nil
}
