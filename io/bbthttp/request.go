package bbthttp

import (
	"bluebelltray"
	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
)

// Request is one caller's request as read from HTTP.
type Request struct {
	account      bbtfleet.AccountID
	pool         bbtfleet.PoolID
	method       string
	path         string
	contentType  string
	body         []byte
	promptTokens int
	maxTokens    int
	prefix       uint64
	prefixTokens int
	ticket       string
	key          string
	attempt      Attempt
}

var _ bluebelltray.Request = (*Request)(nil)

// RequestOption sets an optional part of a Request.
type RequestOption func(*Request)

// WithTokens sets the estimated work in tokens.
func WithTokens(prompt, limit int) RequestOption {
	return func(r *Request) { r.promptTokens, r.maxTokens = prompt, limit }
}

// WithPrompt sets the prompt, whose start identifies what endpoints may hold in
// their caches.
func WithPrompt(prompt string) RequestOption {
	return func(r *Request) {
		start := prompt[:min(len(prompt), prefixBytes)]
		r.prefix = PrefixID(start)
		r.prefixTokens = len(start) / charsPerToken
	}
}

// WithPrefix sets the number and the length in tokens of the prompt's start.
func WithPrefix(prefix uint64, tokens int) RequestOption {
	return func(r *Request) { r.prefix, r.prefixTokens = prefix, tokens }
}

// WithTicket sets the ticket that the caller holds.
func WithTicket(text string) RequestOption { return func(r *Request) { r.ticket = text } }

// WithIdempotencyKey sets the caller's idempotency key and what the caller says of its
// attempts.
func WithIdempotencyKey(key string, a Attempt) RequestOption {
	return func(r *Request) { r.key, r.attempt = key, a }
}

// WithContent sets the body and its type.
func WithContent(contentType string, body []byte) RequestOption {
	return func(r *Request) { r.contentType, r.body = contentType, body }
}

// NewRequest returns a request of an account to a pool.
func NewRequest(a bbtfleet.AccountID, p bbtfleet.PoolID, method, path string, opts ...RequestOption) *Request {
	r := &Request{account: a, pool: p, method: method, path: path}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Account returns the client account's name.
func (r *Request) Account() bbtfleet.AccountID { return r.account }

// Pool returns the model or service called.
func (r *Request) Pool() bbtfleet.PoolID { return r.pool }

// Method returns the HTTP method.
func (r *Request) Method() string { return r.method }

// Path returns the path and query that the endpoint receives.
func (r *Request) Path() string { return r.path }

// ContentType returns the body's type.
func (r *Request) ContentType() string { return r.contentType }

// Body returns the body, which must not be changed.
func (r *Request) Body() []byte { return r.body }

// PromptTokens returns the estimated length of the prompt in tokens.
func (r *Request) PromptTokens() int { return r.promptTokens }

// MaxTokens returns the most tokens the answer may have.
func (r *Request) MaxTokens() int { return r.maxTokens }

// Prefix identifies the start of the prompt; zero if there is none.
func (r *Request) Prefix() uint64 { return r.prefix }

// PrefixTokens returns the length of that start in tokens.
func (r *Request) PrefixTokens() int { return r.prefixTokens }

// Ticket returns the text of the ticket, or empty.
func (r *Request) Ticket() string { return r.ticket }

// Key returns the caller's idempotency key, or empty.
func (r *Request) Key() string { return r.key }

// IsFirstAttempt reports whether the caller states that it never sent this request
// before.
func (r *Request) IsFirstAttempt() bool { return r.attempt == FirstAttempt }

// CountsAttempts reports whether the caller counts its attempts.
func (r *Request) CountsAttempts() bool { return r.attempt != UnknownAttempt }

// PrefixID returns the number that identifies the start of a prompt; it is not
// zero.
func PrefixID(start string) uint64 { return xxhash.Sum64String(start) | 1 }
