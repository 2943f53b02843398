package bbtticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Issuer creates and verifies the tickets of one process.
type Issuer struct {
	host        bbtfleet.HostID
	incarnation bbtfleet.Incarnation
	start       time.Time
	secret      []byte
}

// NewIssuer returns the issuer of a process that started at start. The secret
// must be random and must not leave the process; 32 bytes are enough.
func NewIssuer(host bbtfleet.HostID, inc bbtfleet.Incarnation, start time.Time, secret []byte) *Issuer {
	return &Issuer{host: host, incarnation: inc, start: start, secret: slices.Clone(secret)}
}

// Host returns the host of this process.
func (i *Issuer) Host() bbtfleet.HostID { return i.host }

// Incarnation returns the incarnation of this process.
func (i *Issuer) Incarnation() bbtfleet.Incarnation { return i.incarnation }

// Issue returns the text of a ticket that expires at expiry, rounded down to
// a millisecond.
func (i *Issuer) Issue(sequence uint64, account bbtfleet.AccountID, key KeyDigest, expiry time.Time) string {
	t := Ticket{
		host:        i.host,
		incarnation: i.incarnation,
		sequence:    sequence,
		account:     account,
		key:         key,
		expiry:      expiry.Sub(i.start),
	}
	payload := t.payload()
	return base64.RawURLEncoding.EncodeToString(append(payload, i.mac(payload)...))
}

// Verify decodes a ticket and checks that this process issued it to the
// account. The error is an *Error. An expired ticket is returned along with its
// error, as its contents are authentic.
func (i *Issuer) Verify(now time.Time, text string, account bbtfleet.AccountID) (Ticket, error) {
	t, payload, mac, err := decode(text)
	switch {
	case err != nil:
		return Ticket{}, err
	case t.host != i.host:
		return Ticket{}, &Error{fault: OtherHost}
	case t.incarnation != i.incarnation:
		return Ticket{}, &Error{fault: OtherIncarnation}
	case !hmac.Equal(mac, i.mac(payload)):
		return Ticket{}, &Error{fault: Forged}
	case t.account != account:
		return Ticket{}, &Error{fault: ForeignAccount}
	case now.Sub(i.start) >= t.expiry:
		return t, &Error{fault: Expired}
	}
	return t, nil
}

// mac returns the truncated HMAC-SHA256 of payload.
func (i *Issuer) mac(payload []byte) []byte {
	h := hmac.New(sha256.New, i.secret)
	_, _ = h.Write(payload)
	return h.Sum(nil)[:macBytes]
}
