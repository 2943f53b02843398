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

// Paths, limits and defaults of callers' requests. bytesPerToken is used to estimate
// the length of a prompt in tokens. maxNameBytes is the limit for the names of
// accounts, models and plain services. The first promptPrefixBytes bytes of a prompt
// determine its prefix ID.
const (
	pathCompletions    = "/v1/completions"
	pathAddresses      = "/v1/addresses"
	pathPrefixServices = "/services/"
	bytesPerToken      = 4
	defaultMaxTokens   = 16
	maxTokensLimit     = 1 << 17
	maxKeyBytes        = 256
	maxNameBytes       = 128
	promptPrefixBytes  = 256
)

// completionRequest holds the fields of a completions request that the scheduler
// uses.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens *int            `json:"max_tokens"`
}

// promptText returns the decoded prompt if it is a JSON string, and its raw JSON
// otherwise.
func (c completionRequest) promptText() string {
	var s string
	if err := json.Unmarshal(c.Prompt, &s); err != nil {
		return string(c.Prompt)
	}
	return s
}

// badRequest returns a NotRun error with ReasonBadRequest.
func badRequest(format string, args ...any) *bbtverdict.Error {
	return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonBadRequest,
		bbtverdict.WithCause(errors.Newf(format, args...)))
}

// readBody reads the whole body. It fails if the body exceeds limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, badRequest("body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, badRequest("read body: %v", err)
	}
	return body, nil
}

// parseAccount returns the account from the request's header or, if it has none, from
// the query.
func parseAccount(r *http.Request) (bbtfleet.AccountID, error) {
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

// parseRequest converts r and its body to a Request.
func parseRequest(r *http.Request, body []byte) (*Request, error) {
	account, err := parseAccount(r)
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
		WithIdempotencyKey(key, parseAttempt(r.Header.Get(HeaderAttempt))),
	}
	if r.URL.Path == pathCompletions {
		return parseCompletion(account, body, opts)
	}
	return parseService(account, r, opts)
}

// parseCompletion returns the request of a call to a model engine.
func parseCompletion(account bbtfleet.AccountID, body []byte, opts []RequestOption) (*Request, error) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, badRequest("body is not a completions request: %v", err)
	}
	if c.Model == "" || len(c.Model) > maxNameBytes {
		return nil, badRequest("field model must have 1 to %d bytes", maxNameBytes)
	}
	if len(c.Prompt) == 0 || string(c.Prompt) == "null" {
		return nil, badRequest("field prompt is missing")
	}
	maxTokens := defaultMaxTokens
	if c.MaxTokens != nil {
		maxTokens = *c.MaxTokens
	}
	if maxTokens < 1 || maxTokens > maxTokensLimit {
		return nil, badRequest("field max_tokens is %d, must be 1 to %d", maxTokens, maxTokensLimit)
	}
	opts = append(opts, WithTokens(len(c.Prompt)/bytesPerToken+1, maxTokens), WithPrompt(c.promptText()))
	return NewRequest(account, bbtfleet.PoolID(c.Model), http.MethodPost, pathCompletions, opts...), nil
}

// parseService returns the request of a call to a plain service.
func parseService(account bbtfleet.AccountID, r *http.Request, opts []RequestOption) (*Request, error) {
	pool, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), pathPrefixServices), "/")
	if pool == "" || len(pool) > maxNameBytes {
		return nil, badRequest("path must be %sPOOL/..., POOL neither empty nor too long", pathPrefixServices)
	}
	path := "/" + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return NewRequest(account, bbtfleet.PoolID(pool), r.Method, path, opts...), nil
}
