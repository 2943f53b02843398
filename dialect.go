package bluebelltray

import (
	"net/http"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
)

// Dialect translates between the HTTP headers of a platform and the project's
// types. It decides nothing and keeps no state.
type Dialect interface {
	// ParseRequest reads the headers of a caller's request. The error is a
	// *bbtverdict.Error.
	ParseRequest(r *http.Request) (RequestHead, error)

	// Forward turns the headers of a caller's request into those for an
	// endpoint.
	Forward(h http.Header, d ForwardInfo)

	// ParseResponse reads the headers of an endpoint's answer.
	ParseResponse(resp *http.Response) ResponseHead

	// WriteRefusal writes the headers of a refusal.
	WriteRefusal(h http.Header, e *bbtverdict.Error)
}

// RequestHead is what a caller says of its request.
type RequestHead struct {
	ID                   string // of this attempt of the caller
	APIKey               string // of the client account
	TimeLeft             time.Duration
	HasTokenCounts       bool // Prompt and Output are stated
	PromptTokens         int  // tokens
	MaxOutputTokens      int  // tokens at most
	ExpectedOutputTokens int  // tokens of the answer that the caller expects; 0 if it says nothing
	PrefixParts          []bbtschedule.Part
	LastEventID          string // the answer is to begin behind it
}

// ForwardInfo is what an endpoint is told of a request beside the caller's own
// headers.
type ForwardInfo struct {
	Endpoint    bbtcatalog.Endpoint
	Account     string
	TimeLeft    time.Duration
	LastEventID string // the answer is to begin behind it
}

// ResponseHead is what an endpoint says of its answer.
type ResponseHead struct {
	RequestID string // of the request that it answers
	NotRun    bool   // the endpoint did not run the request
	Sealed    bool   // the answer has the endpoint's seal
}
