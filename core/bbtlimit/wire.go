package bbtlimit

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// The limits of a message.
const (
	maxItems         = 256     // credit requests, and as many grants
	maxAccountLength = 64      // bytes of an account ID
	maxAmount        = 1 << 50 // thousandths of a unit
)

// Message carries credit requests and grants between two hosts.
type Message struct {
	CreditRequests []CreditRequest `cbor:"1,keyasint,omitempty"`
	Grants         []Grant         `cbor:"2,keyasint,omitempty"`
}

// CreditRequest requests credit from a home. Amounts are in thousandths of a
// request and of a token. A home that lacks the needed amounts grants nothing,
// because a smaller grant would expire unused.
type CreditRequest struct {
	ID             uint32 `cbor:"1,keyasint"`
	Account        string `cbor:"2,keyasint"`
	Requests       uint64 `cbor:"3,keyasint,omitempty"`
	Tokens         uint64 `cbor:"4,keyasint,omitempty"`
	NeededRequests uint64 `cbor:"5,keyasint,omitempty"`
	NeededTokens   uint64 `cbor:"6,keyasint,omitempty"`
}

// Grant answers a credit request with the credit deducted at the home. Amounts
// have the same units.
type Grant struct {
	ID       uint32 `cbor:"1,keyasint"`
	Account  string `cbor:"2,keyasint"`
	Requests uint64 `cbor:"3,keyasint,omitempty"`
	Tokens   uint64 `cbor:"4,keyasint,omitempty"`
}

// ErrInvalidMessage indicates that data is not a valid message.
var ErrInvalidMessage = errors.New("invalid rate limit message")

// decoder rejects duplicate and unknown keys, and arrays longer than maxItems.
var decoder = mustDecoder()

// mustDecoder returns the decoding mode. It panics only if the constant options
// are invalid.
func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements:  maxItems,
		MaxMapPairs:       16,
		MaxNestedLevels:   4,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR encoding of the message.
func (m Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// Decode decodes a message. The error wraps ErrInvalidMessage.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := decoder.Unmarshal(data, &m); err != nil {
		return Message{}, errors.Mark(errors.Wrap(err, "decode"), ErrInvalidMessage)
	}
	for _, req := range m.CreditRequests {
		if err := checkItem(req.Account, req.Requests, req.Tokens); err != nil {
			return Message{}, err
		}
		if req.NeededRequests > req.Requests || req.NeededTokens > req.Tokens {
			return Message{}, errors.Wrap(ErrInvalidMessage, "credit request needs more than it requests")
		}
	}
	for _, g := range m.Grants {
		if err := checkItem(g.Account, g.Requests, g.Tokens); err != nil {
			return Message{}, err
		}
	}
	return m, nil
}

// checkItem validates the fields of a credit request or a grant.
func checkItem(account string, requests, tokens uint64) error {
	if account == "" || len(account) > maxAccountLength {
		return errors.Wrapf(ErrInvalidMessage, "account ID is empty or too long: %d bytes", len(account))
	}
	if requests > maxAmount || tokens > maxAmount {
		return errors.Wrap(ErrInvalidMessage, "amount of requests or tokens exceeds the maximum")
	}
	return nil
}
