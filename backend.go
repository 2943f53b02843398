package bluebelltray

import (
	"context"
	"io"

	"bluebelltray/core/bbtfleet"
)

// Backend sends calls to endpoints.
type Backend interface {
	// Do sends the call and returns the status and the answer's body. A
	// non-nil error is a *bbtverdict.Error that says whether the endpoint may
	// have run the call.
	Do(ctx context.Context, ep bbtfleet.Endpoint, call Call) (Answer, error)
}

// Call is one request as an endpoint receives it.
type Call interface {
	Path() string
	ContentType() string
	Body() []byte
}

// Answer is an endpoint's reply. Its body ends with io.EOF only after the
// end-of-answer mark of the endpoint's protocol was seen.
type Answer interface {
	io.ReadCloser
	Status() int
	ContentType() string
}
