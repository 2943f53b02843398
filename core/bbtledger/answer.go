package bbtledger

// Response is an endpoint's complete response.
type Response struct {
	status      int
	contentType string
	body        []byte
}

// NewResponse returns a response. It keeps a reference to body, which must not
// be changed afterwards.
func NewResponse(status int, contentType string, body []byte) Response {
	return Response{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status code.
func (r Response) Status() int { return r.status }

// ContentType returns the media type of the body.
func (r Response) ContentType() string { return r.contentType }

// Body returns the response body, which must not be changed.
func (r Response) Body() []byte { return r.body }

// size returns the number of bytes that count against the ledger's limit.
func (r Response) size() int { return len(r.body) + len(r.contentType) }
