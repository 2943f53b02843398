package bbtticket

import (
	"encoding/base64"
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Limits of the text form.
const (
	macBytes     = 16
	maxTextBytes = 512
)

// wire is the encoded form. Its fields are exported as the codec requires.
type wire struct {
	_           struct{} `cbor:",toarray"`
	Host        bbtfleet.HostID
	Incarnation bbtfleet.Incarnation
	Sequence    uint64
	Account     bbtfleet.AccountID
	Key         KeyDigest
	ExpiryMS    int64
}

// payload returns the bytes that the authentication code covers.
func (t Ticket) payload() []byte {
	b, err := cbor.Marshal(wire{
		Host:        t.host,
		Incarnation: t.incarnation,
		Sequence:    t.sequence,
		Account:     t.account,
		Key:         t.key,
		ExpiryMS:    t.expiry.Milliseconds(),
	})
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "ticket fields always encode"))
	}
	return b
}

// Parse decodes a ticket without verifying it. The error is an *Error with
// fault Malformed.
func Parse(text string) (Ticket, error) {
	t, _, _, err := split(text)
	return t, err
}

// split decodes text into the ticket, the bytes covered by the authentication
// code, and the code.
func split(text string) (t Ticket, payload, mac []byte, err error) {
	if len(text) > maxTextBytes {
		return t, nil, nil, malformed(errors.Newf("%d bytes exceed %d", len(text), maxTextBytes))
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return t, nil, nil, malformed(err)
	}
	if len(raw) <= macBytes {
		return t, nil, nil, malformed(errors.Newf("%d bytes are too short", len(raw)))
	}
	payload, mac = raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	var w wire
	if err := cbor.Unmarshal(payload, &w); err != nil {
		return t, nil, nil, malformed(err)
	}
	t = Ticket{
		host:        w.Host,
		incarnation: w.Incarnation,
		sequence:    w.Sequence,
		account:     w.Account,
		key:         w.Key,
		expiry:      time.Duration(w.ExpiryMS) * time.Millisecond,
	}
	if t.expiry.Milliseconds() != w.ExpiryMS || t.host == "" {
		return Ticket{}, nil, nil, malformed(errors.New("field out of range"))
	}
	return t, payload, mac, nil
}

// malformed returns the error of text that is no ticket.
func malformed(cause error) error { return &Error{fault: Malformed, cause: cause} }
