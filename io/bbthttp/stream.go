package bbthttp

import (
	"io"
	"net/http"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

// copyBufferBytes is the size of the buffer for copying a response to the caller.
const copyBufferBytes = 4 << 10

// stream copies the response to the caller and flushes after each read. If the
// response is incomplete, it aborts the connection, so that the caller detects the
// truncation. The verdict in the header only means that an endpoint has started to
// respond. The same verdict in the trailer, which follows the last byte, means that
// the response is complete.
func (s *Server) stream(w http.ResponseWriter, resp bluebelltray.Response) {
	rc := http.NewResponseController(w)
	w.Header().Set(headerContentType, resp.ContentType())
	w.Header().Set(HeaderVerdict, bbtverdict.Ran.String())
	w.Header().Set("Trailer", HeaderVerdict)
	w.WriteHeader(resp.Status())
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Read(buf)
		if !s.send(w, rc, buf[:n]) {
			s.recorder.Add("callers-gone", 1)
			panic(http.ErrAbortHandler)
		}
		if errors.Is(err, io.EOF) {
			w.Header().Set(HeaderVerdict, bbtverdict.Ran.String())
			return
		}
		if err != nil {
			s.recorder.Refused(bbtverdict.FromError(err, bbtverdict.ReasonResponseIncomplete))
			panic(http.ErrAbortHandler)
		}
	}
}

// send writes and flushes p within the write timeout. It reports whether it succeeded.
func (s *Server) send(w http.ResponseWriter, rc *http.ResponseController, p []byte) bool {
	if len(p) == 0 {
		return true
	}
	if err := rc.SetWriteDeadline(time.Now().Add(s.limits.writeTimeout)); err != nil {
		return false
	}
	if _, err := w.Write(p); err != nil {
		return false
	}
	return rc.Flush() == nil
}
