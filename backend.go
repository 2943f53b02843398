package bluebelltray

import (
	"context"
	"io"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Backend sends calls to endpoints.
type Backend interface {
	// Do sends the call and returns the head of the answer. No byte is sent
	// after notAfter. A non-nil error is a *bbtverdict.Error that says whether
	// the endpoint may have run the call.
	Do(ctx context.Context, ep bbtfleet.Endpoint, call Call, notAfter time.Time) (Response, error)
}

// Call is one request as an endpoint receives it.
type Call interface {
	Method() string
	Path() string
	ContentType() string
	Body() []byte
}

// Response is an endpoint's reply. Read returns io.EOF only after the
// end-of-answer mark of the endpoint's protocol was seen; any other error is a
// *bbtverdict.Error.
type Response interface {
	io.ReadCloser
	Status() int
	ContentType() string
	Incarnation() bbtfleet.Incarnation
}
