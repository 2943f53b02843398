package bbthttp

import (
	"bluebelltray"
	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
)

// Request is a caller's request, parsed from HTTP.
type Request struct {
	account      bbtfleet.AccountID
	pool         bbtfleet.PoolID
	method       string
	path         string
	contentType  string
	body         []byte
	promptTokens int
	maxTokens    int
	prefixID     uint64
	prefixTokens int
	ticket       string
	key          string
	attempt      Attempt
}

var _ bluebelltray.Request = (*Request)(nil)

// RequestOption sets an optional field of a Request.
type RequestOption func(*Request)

// WithTokens sets the estimated prompt length and the maximum output length in
// tokens.
func WithTokens(prompt, output int) RequestOption {
	return func(r *Request) { r.promptTokens, r.maxTokens = prompt, output }
}

// WithPrompt sets the prefix ID and the prefix length from the start of the prompt.
// The ID is compared with those of the prefixes in endpoints' caches.
func WithPrompt(prompt string) RequestOption {
	return func(r *Request) {
		prefix := prompt[:min(len(prompt), promptPrefixBytes)]
		r.prefixID = PrefixID(prefix)
		r.prefixTokens = len(prefix) / bytesPerToken
	}
}

// WithPrefix sets the ID and the length in tokens of the prompt's prefix.
func WithPrefix(prefixID uint64, tokens int) RequestOption {
	return func(r *Request) { r.prefixID, r.prefixTokens = prefixID, tokens }
}

// WithTicket sets the text of the ticket that the caller sent.
func WithTicket(text string) RequestOption { return func(r *Request) { r.ticket = text } }

// WithIdempotencyKey sets the caller's idempotency key and what the caller states
// about its earlier attempts.
func WithIdempotencyKey(key string, a Attempt) RequestOption {
	return func(r *Request) { r.key, r.attempt = key, a }
}

// WithContent sets the body and its content type.
func WithContent(contentType string, body []byte) RequestOption {
	return func(r *Request) { r.contentType, r.body = contentType, body }
}

// NewRequest returns a request from an account to a pool.
func NewRequest(a bbtfleet.AccountID, p bbtfleet.PoolID, method, path string, opts ...RequestOption) *Request {
	r := &Request{account: a, pool: p, method: method, path: path}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Account returns the ID of the client account.
func (r *Request) Account() bbtfleet.AccountID { return r.account }

// Pool returns the pool of the requested model or service.
func (r *Request) Pool() bbtfleet.PoolID { return r.pool }

// Method returns the HTTP method.
func (r *Request) Method() string { return r.method }

// Path returns the path and query that the endpoint receives.
func (r *Request) Path() string { return r.path }

// ContentType returns the media type of the body.
func (r *Request) ContentType() string { return r.contentType }

// Body returns the body, which must not be modified.
func (r *Request) Body() []byte { return r.body }

// PromptTokens returns the estimated length of the prompt in tokens.
func (r *Request) PromptTokens() int { return r.promptTokens }

// MaxOutputTokens returns the maximum output length in tokens.
func (r *Request) MaxOutputTokens() int { return r.maxTokens }

// Prefix returns the ID of the prompt's prefix, or zero if there is no prompt.
func (r *Request) Prefix() uint64 { return r.prefixID }

// PrefixTokens returns the length of the prompt's prefix in tokens.
func (r *Request) PrefixTokens() int { return r.prefixTokens }

// Ticket returns the text of the ticket, or the empty string.
func (r *Request) Ticket() string { return r.ticket }

// Key returns the caller's idempotency key, or the empty string.
func (r *Request) Key() string { return r.key }

// IsFirstAttempt reports whether the caller states that it sent no ticket for this
// request before, or only ones refused as not run.
func (r *Request) IsFirstAttempt() bool { return r.attempt == FirstAttempt }

// CountsAttempts reports whether the caller states which attempt this is.
func (r *Request) CountsAttempts() bool { return r.attempt != Uncounted }

// PrefixID returns the ID of a prompt prefix. It is never zero, because zero means
// that there is no prefix.
func PrefixID(prefix string) uint64 { return xxhash.Sum64String(prefix) | 1 }
