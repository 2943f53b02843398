package bluebelltray

import (
	"net/http"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
)

// Dialect converts between the HTTP headers of a platform and the types of this
// module. It is stateless and contains no policy.
type Dialect interface {
	// ParseRequest reads the headers of a caller's request. The error is a
	// *bbtverdict.Error.
	ParseRequest(r *http.Request) (RequestHead, error)

	// Forward changes the headers of a caller's request to those sent to the
	// endpoint.
	Forward(h http.Header, info ForwardInfo)

	// ParseResponse reads the headers of an endpoint's response.
	ParseResponse(resp *http.Response) ResponseHead

	// WriteRefusal sets the response headers of a refusal.
	WriteRefusal(h http.Header, e *bbtverdict.Error)
}

// RequestHead holds the request metadata from the headers of a caller's request.
type RequestHead struct {
	ID                   string // set by the caller, a new one for each attempt; empty if it sets none
	APIKey               string // of the client account
	RemainingTime        time.Duration
	Tokens               bool // the caller sent PromptTokens and MaxOutputTokens
	PromptTokens         int
	MaxOutputTokens      int
	ExpectedOutputTokens int                       // the caller's estimate; 0 if it gives none
	PromptBlocks         []bbtschedule.PromptBlock // blocks of the prompt, in order
	LastEventID          string                    // the event stream resumes after this event
}

// ForwardInfo holds the values for the headers that are added when a request is
// forwarded to an endpoint.
type ForwardInfo struct {
	Endpoint      bbtcatalog.Endpoint
	Account       string
	RemainingTime time.Duration
	LastEventID   string // the event stream resumes after this event
}

// ResponseHead holds the response metadata from an endpoint's headers.
type ResponseHead struct {
	ID                string        // of the request that the endpoint responded to
	NotRun            bool          // the endpoint did not execute the request
	HasEndpointHeader bool          // the response has the header that endpoints set on every success
	Draining          bool          // the endpoint says that it takes no new requests, since it is about to end
	Pause             time.Duration // for which the endpoint wants no requests from this host; 0 if it says nothing
	Limited           bool          // the endpoint states a limit
	PerSecond         float64       // limit, requests that it takes from all hosts together

	Ignored []string // names of headers whose values are not understood
}
