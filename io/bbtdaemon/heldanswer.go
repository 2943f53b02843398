package bbtdaemon

import (
	"io"

	"bluebelltray"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtledger"
)

// heldAnswer is a whole answer as the ledger holds it.
type heldAnswer struct {
	answer bbtledger.Response
	offset int
}

var _ bluebelltray.Response = (*heldAnswer)(nil)

// Status returns the HTTP status.
func (a *heldAnswer) Status() int { return a.answer.Status() }

// ContentType returns the body's type.
func (a *heldAnswer) ContentType() string { return a.answer.ContentType() }

// Incarnation returns zero: the ledger does not hold it.
func (a *heldAnswer) Incarnation() bbtfleet.Incarnation { return 0 }

// Read reads the body.
func (a *heldAnswer) Read(p []byte) (int, error) {
	n := copy(p, a.answer.Body()[a.offset:])
	a.offset += n
	if a.offset == len(a.answer.Body()) {
		return n, io.EOF
	}
	return n, nil
}

// Close does nothing.
func (a *heldAnswer) Close() error { return nil }
