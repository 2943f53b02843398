package bbtdaemon

import (
	"io"

	"bluebelltray"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtledger"
)

// storedResponse is a complete response stored by the ledger.
type storedResponse struct {
	response bbtledger.Response
	offset   int
}

var _ bluebelltray.Response = (*storedResponse)(nil)

// Status returns the HTTP status code.
func (a *storedResponse) Status() int { return a.response.Status() }

// ContentType returns the media type of the body.
func (a *storedResponse) ContentType() string { return a.response.ContentType() }

// Incarnation returns zero, because the ledger does not store it.
func (a *storedResponse) Incarnation() bbtfleet.Incarnation { return 0 }

// Read reads the body.
func (a *storedResponse) Read(p []byte) (int, error) {
	n := copy(p, a.response.Body()[a.offset:])
	a.offset += n
	if a.offset == len(a.response.Body()) {
		return n, io.EOF
	}
	return n, nil
}

// Close does nothing.
func (a *storedResponse) Close() error { return nil }
