package bbtlimit

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// The limits of a message.
const (
	maxItems   = 256     // asks, and grants
	maxAccount = 64      // bytes of an account's name
	maxAmount  = 1 << 50 // thousandths of a unit
)

// Message carries asks for credit and grants of it between two hosts.
type Message struct {
	CreditRequests []CreditRequest `cbor:"1,keyasint,omitempty"`
	Grants         []Grant         `cbor:"2,keyasint,omitempty"`
}

// CreditRequest asks a home for credit. Amounts are in thousandths of a request and of a
// token. A home that lacks the needed amounts grants nothing, as less than them
// would only expire.
type CreditRequest struct {
	ID             uint32 `cbor:"1,keyasint"`
	Account        string `cbor:"2,keyasint"`
	Requests       uint64 `cbor:"3,keyasint,omitempty"`
	Tokens         uint64 `cbor:"4,keyasint,omitempty"`
	NeededRequests uint64 `cbor:"5,keyasint,omitempty"`
	NeededTokens   uint64 `cbor:"6,keyasint,omitempty"`
}

// Grant answers an ask with the credit that the home gave up, in the same
// amounts.
type Grant struct {
	ID       uint32 `cbor:"1,keyasint"`
	Account  string `cbor:"2,keyasint"`
	Requests uint64 `cbor:"3,keyasint,omitempty"`
	Tokens   uint64 `cbor:"4,keyasint,omitempty"`
}

// ErrInvalidMessage says that bytes are no message.
var ErrInvalidMessage = errors.New("no limit message")

// decoder refuses repeated and unknown keys and long arrays.
var decoder = mustDecoder()

// mustDecoder returns the decoder's mode, whose options are constant.
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

// Encode returns the message's bytes.
func (m Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// Decode returns the message of bytes. The error wraps ErrMessage.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := decoder.Unmarshal(data, &m); err != nil {
		return Message{}, errors.Mark(errors.Wrap(err, "decode"), ErrInvalidMessage)
	}
	for _, k := range m.CreditRequests {
		if err := checkItem(k.Account, k.Requests, k.Tokens); err != nil {
			return Message{}, err
		}
		if k.NeededRequests > k.Requests || k.NeededTokens > k.Tokens {
			return Message{}, errors.Wrap(ErrInvalidMessage, "ask for less than is needed")
		}
	}
	for _, g := range m.Grants {
		if err := checkItem(g.Account, g.Requests, g.Tokens); err != nil {
			return Message{}, err
		}
	}
	return m, nil
}

// checkItem checks the parts of an ask or a grant.
func checkItem(account string, requests, tokens uint64) error {
	if account == "" || len(account) > maxAccount {
		return errors.Wrapf(ErrInvalidMessage, "account of %d bytes", len(account))
	}
	if requests > maxAmount || tokens > maxAmount {
		return errors.Wrap(ErrInvalidMessage, "amount out of range")
	}
	return nil
}
