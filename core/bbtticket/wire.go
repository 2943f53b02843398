package bbtticket

import (
	"encoding/base64"
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Sizes of the encoded form.
const (
	macBytes     = 16
	maxTextBytes = 512
)

// wireTicket is the CBOR form of a Ticket. Its fields are exported as the codec
// requires.
type wireTicket struct {
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
	b, err := cbor.Marshal(wireTicket{
		Host:        t.host,
		Incarnation: t.incarnation,
		Sequence:    t.sequence,
		Account:     t.account,
		Key:         t.key,
		ExpiryMS:    t.expiry.Milliseconds(),
	})
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode ticket"))
	}
	return b
}

// Parse decodes a ticket without verifying it. The error is an *Error with
// fault Malformed.
func Parse(text string) (Ticket, error) {
	t, _, _, err := decode(text)
	return t, err
}

// decode decodes text into the ticket, the bytes covered by the authentication
// code, and the code.
func decode(text string) (t Ticket, payload, mac []byte, err error) {
	if len(text) > maxTextBytes {
		return t, nil, nil, newMalformedError(errors.Newf("text has %d bytes, limit is %d", len(text), maxTextBytes))
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return t, nil, nil, newMalformedError(err)
	}
	if len(raw) <= macBytes {
		return t, nil, nil, newMalformedError(errors.Newf("decoded text of %d bytes has no payload", len(raw)))
	}
	payload, mac = raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	var w wireTicket
	if err := cbor.Unmarshal(payload, &w); err != nil {
		return t, nil, nil, newMalformedError(err)
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
		return Ticket{}, nil, nil, newMalformedError(errors.New("expiry out of range or host empty"))
	}
	return t, payload, mac, nil
}

// newMalformedError returns the error for text that does not decode.
func newMalformedError(cause error) error { return &Error{fault: Malformed, cause: cause} }
