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

func (r *storedResponse) Status() int { return r.response.Status() }

func (r *storedResponse) ContentType() string { return r.response.ContentType() }

// Incarnation returns zero, because the ledger does not store it.
func (r *storedResponse) Incarnation() bbtfleet.Incarnation { return 0 }

func (r *storedResponse) Read(p []byte) (int, error) {
	n := copy(p, r.response.Body()[r.offset:])
	r.offset += n
	if r.offset == len(r.response.Body()) {
		return n, io.EOF
	}
	return n, nil
}

func (r *storedResponse) Close() error { return nil }
