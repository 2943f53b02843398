package bluebelltray

import (
	"context"
	"io"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Backend sends requests to endpoints.
type Backend interface {
	// Do sends the call and returns the response once its headers have arrived.
	// Sending does not start after notAfter; a zero notAfter sets no limit. A
	// non-nil error is a *bbtverdict.Error that says whether the endpoint may have
	// executed the call.
	Do(ctx context.Context, ep bbtfleet.Endpoint, call Call, notAfter time.Time) (Response, error)
}

// Call is a request as the endpoint receives it.
type Call interface {
	Method() string
	Path() string
	ContentType() string
	Body() []byte
}

// Response is an endpoint's response. Read returns io.EOF only after the
// end-of-response mark of the endpoint's protocol. Any other error is a
// *bbtverdict.Error.
type Response interface {
	io.ReadCloser
	Status() int
	ContentType() string
	Incarnation() bbtfleet.Incarnation
}
