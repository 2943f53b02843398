package bbtledger

// Response is an endpoint's whole reply.
type Response struct {
	status      int
	contentType string
	body        []byte
}

// NewResponse returns an answer. It keeps body, which must not change
// afterwards.
func NewResponse(status int, contentType string, body []byte) Response {
	return Response{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status code.
func (a Response) Status() int { return a.status }

// ContentType returns the media type of the body.
func (a Response) ContentType() string { return a.contentType }

// Body returns the reply's bytes, which must not be changed.
func (a Response) Body() []byte { return a.body }

// size returns the bytes that the answer is charged for.
func (a Response) size() int { return len(a.body) + len(a.contentType) }
