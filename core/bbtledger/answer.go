package bbtledger

// Answer is an endpoint's whole reply.
type Answer struct {
	status      int
	contentType string
	body        []byte
}

// NewAnswer returns an answer. It keeps body, which must not change
// afterwards.
func NewAnswer(status int, contentType string, body []byte) Answer {
	return Answer{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status code.
func (a Answer) Status() int { return a.status }

// ContentType returns the media type of the body.
func (a Answer) ContentType() string { return a.contentType }

// Body returns the reply's bytes, which must not be changed.
func (a Answer) Body() []byte { return a.body }

// size returns the bytes that the answer is charged for.
func (a Answer) size() int { return len(a.body) + len(a.contentType) }
