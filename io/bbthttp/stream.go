package bbthttp

import (
	"io"
	"net/http"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

// copyBytes is the size of the buffer between an answer and its caller.
const copyBytes = 4 << 10

// stream sends the answer to the caller piece by piece. An answer that breaks
// off ends in an aborted connection, so that the caller cannot take it for a
// whole one.
func (s *Server) stream(w http.ResponseWriter, ans bluebelltray.Response) {
	rc := http.NewResponseController(w)
	w.Header().Set(headerContentType, ans.ContentType())
	w.Header().Set(HeaderVerdict, bbtverdict.Ran.String())
	w.Header().Set("Trailer", HeaderVerdict)
	w.WriteHeader(ans.Status())
	buf := make([]byte, copyBytes)
	for {
		n, err := ans.Read(buf)
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

// send writes one piece within the silence limit and reports success.
func (s *Server) send(w http.ResponseWriter, rc *http.ResponseController, p []byte) bool {
	if len(p) == 0 {
		return true
	}
	if err := rc.SetWriteDeadline(time.Now().Add(s.limits.silence)); err != nil {
		return false
	}
	if _, err := w.Write(p); err != nil {
		return false
	}
	return rc.Flush() == nil
}
