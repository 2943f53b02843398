package bbthttp

import (
	"bytes"
	"io"
	"net"
	"net/http"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

// endOfStreamEvent is the last event of a complete event stream.
const endOfStreamEvent = "data: [DONE]"

// errEndMarkMissing means that a response ended without its end-of-response mark.
var errEndMarkMissing = errors.New("response ended without its end-of-response mark")

// response is an endpoint's response. Its body must end with an end-of-response
// mark: the last event of an event stream, the last chunk, or the last of the bytes
// that Content-Length announces. Otherwise the response is incomplete.
type response struct {
	conn        net.Conn
	resp        *http.Response
	epConn      *endpointConn
	incarnation bbtfleet.Incarnation
	tail        []byte
	stop        func() bool // unregisters the function that closes conn when the context is done
}

// newResponse returns a response that reads its body from resp.
func newResponse(conn net.Conn, resp *http.Response, epConn *endpointConn) *response {
	return &response{
		conn:        conn,
		resp:        resp,
		epConn:      epConn,
		incarnation: incarnation(resp.Header),
	}
}

// Status returns the HTTP status code.
func (r *response) Status() int { return r.resp.StatusCode }

// ContentType returns the media type of the body.
func (r *response) ContentType() string { return r.resp.Header.Get(headerContentType) }

// Incarnation returns the endpoint's incarnation, or zero if the response has none.
func (r *response) Incarnation() bbtfleet.Incarnation { return r.incarnation }

// Read reads the body. It returns io.EOF only after the end-of-response mark.
func (r *response) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	r.keepTail(p[:n])
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && r.isComplete():
		return n, io.EOF
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return n, bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonResponseIncomplete,
			bbtverdict.WithCause(errEndMarkMissing))
	default:
		return n, r.epConn.withVerdict(err)
	}
}

// keepTail stores the last bytes of the body, which may contain the last event of
// a stream.
func (r *response) keepTail(p []byte) {
	const maxTail = len(endOfStreamEvent) + len("\r\n\r\n")
	if len(p) > maxTail {
		p = p[len(p)-maxTail:]
	}
	r.tail = append(r.tail, p...)
	if len(r.tail) > maxTail {
		r.tail = append(r.tail[:0], r.tail[len(r.tail)-maxTail:]...)
	}
}

// isComplete reports whether a body that has reached io.EOF is complete. An event
// stream is complete if it ends with endOfStreamEvent. Any other body is complete if
// it has a Content-Length or is chunked, because net/http then detects truncation.
func (r *response) isComplete() bool {
	if isEventStream(r.ContentType()) {
		return bytes.HasSuffix(bytes.TrimRight(r.tail, "\r\n"), []byte(endOfStreamEvent))
	}
	return r.resp.ContentLength >= 0 || len(r.resp.TransferEncoding) > 0
}

// Close closes the connection, which cancels a response that is still being sent.
func (r *response) Close() error {
	r.stop()
	return r.conn.Close()
}
