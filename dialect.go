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
	// Head reads the headers of a caller's request. The error is a
	// *bbtverdict.Error.
	Head(r *http.Request) (Head, error)

	// Forward turns the headers of a caller's request into those for an
	// endpoint.
	Forward(h http.Header, d Delivery)

	// Reply reads the headers of an endpoint's answer.
	Reply(resp *http.Response) Reply

	// Refuse writes the headers of a refusal.
	Refuse(h http.Header, e *bbtverdict.Error)
}

// Head is what a caller says of its request.
type Head struct {
	ID        string // of this attempt of the caller
	Key       string // of the client account
	Left      time.Duration
	Tokens    bool // Prompt and Output are stated
	Prompt    int  // tokens
	Output    int  // tokens at most
	Hint      int  // tokens of the answer that the caller expects; 0 if it says nothing
	Parts     []bbtschedule.Part
	LastEvent string // the answer is to begin behind it
}

// Delivery is what an endpoint is told of a request beside the caller's own
// headers.
type Delivery struct {
	Endpoint  bbtcatalog.Endpoint
	Account   string
	Left      time.Duration
	LastEvent string // the answer is to begin behind it
}

// Reply is what an endpoint says of its answer.
type Reply struct {
	ID     string // of the request that it answers
	NotRun bool   // the endpoint did not run the request
	Sealed bool   // the answer has the endpoint's seal
}
