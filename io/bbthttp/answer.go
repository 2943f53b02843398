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

// endOfEvents is the last event of a whole stream.
const endOfEvents = "data: [DONE]"

// errNoEndMark says that an answer ended without its end-of-answer mark.
var errNoEndMark = errors.New("answer ended without its end mark")

// answer is an endpoint's answer, read until its end mark.
type answer struct {
	conn        net.Conn
	resp        *http.Response
	guarded     *progressConn
	incarnation bbtfleet.Incarnation
	tail        []byte
	stop        func() bool
}

// newAnswer returns the answer whose head is resp.
func newAnswer(conn net.Conn, resp *http.Response, guarded *progressConn) *answer {
	return &answer{
		conn:        conn,
		resp:        resp,
		guarded:     guarded,
		incarnation: incarnation(resp.Header),
	}
}

// Status returns the HTTP status.
func (a *answer) Status() int { return a.resp.StatusCode }

// ContentType returns the body's type.
func (a *answer) ContentType() string { return a.resp.Header.Get(headerContentType) }

// Incarnation returns the endpoint's incarnation, or zero if it states none.
func (a *answer) Incarnation() bbtfleet.Incarnation { return a.incarnation }

// Read reads the body. It returns io.EOF only behind the end mark.
func (a *answer) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	a.keepTail(p[:n])
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && a.whole():
		return n, io.EOF
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return n, bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonResponseIncomplete,
			bbtverdict.WithCause(errNoEndMark))
	default:
		return n, a.guarded.verdict(err)
	}
}

// keepTail remembers the last bytes of a stream of events.
func (a *answer) keepTail(p []byte) {
	const keep = len(endOfEvents) + len("\r\n\r\n")
	if len(p) > keep {
		p = p[len(p)-keep:]
	}
	a.tail = append(a.tail, p...)
	if len(a.tail) > keep {
		a.tail = append(a.tail[:0], a.tail[len(a.tail)-keep:]...)
	}
}

// whole reports whether the end mark was seen: the last event of a stream, or
// the length or last chunk of another body.
func (a *answer) whole() bool {
	if isEvents(a.ContentType()) {
		return bytes.HasSuffix(bytes.TrimRight(a.tail, "\r\n"), []byte(endOfEvents))
	}
	return a.resp.ContentLength >= 0 || len(a.resp.TransferEncoding) > 0
}

// Close closes the connection, which cancels a running answer.
func (a *answer) Close() error {
	a.stop()
	return a.conn.Close()
}
