package bbtgateway

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// errUploadCut reports a response that ends with its connection before the request was
// written.
var errUploadCut = errors.New("connection ended before the request was written")

// unframedBody is the body of a response that has neither a length nor chunks, and ends
// with its connection. If the connection is reset while the request is still being
// written, the write reports that and the next read the end of the body, as if it were
// complete. Such a body is complete only if the whole request was written.
type unframedBody struct {
	io.ReadCloser
	ctx   context.Context // of the dispatch
	trace *connTrace
}

// isUnframed reports whether only the end of the connection ends the response's body.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Read reads from the body.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	select {
	case <-b.trace.written:
	case <-b.ctx.Done():
		return n, b.ctx.Err()
	}
	if b.trace.writeErr != nil {
		return n, errors.CombineErrors(errUploadCut, b.trace.writeErr)
	}
	return n, err
}
