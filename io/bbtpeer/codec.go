// Package bbtpeer exchanges typed messages between entry hosts over QUIC. Peers
// are authenticated by mutual TLS or, on platforms that guarantee source addresses,
// by IP address.
package bbtpeer

import (
	"io"
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Size limits of one decoded message.
const (
	maxMessageBytes  = 4 << 20
	maxNestingLevels = 8
	maxElements      = 1 << 16
)

// firstMessageTag is the CBOR tag of the first message type. Tags 200 to 255
// take two bytes, and the protocol uses none of their registered meanings.
const firstMessageTag = 200

// Codec encodes messages as tagged CBOR items. Tags are numbered consecutively
// in the order in which the message types were passed to NewCodec.
type Codec struct {
	enc   cbor.EncMode
	dec   cbor.DecMode
	types map[reflect.Type]bool
}

// NewCodec returns a codec for the types of the given values. All hosts must
// pass the same types in the same order.
func NewCodec(types ...any) (*Codec, error) {
	tags := cbor.NewTagSet()
	registered := make(map[reflect.Type]bool, len(types))
	opts := cbor.TagOptions{EncTag: cbor.EncTagRequired, DecTag: cbor.DecTagRequired}
	for i, t := range types {
		if err := tags.Add(opts, reflect.TypeOf(t), firstMessageTag+uint64(i)); err != nil {
			return nil, errors.Wrapf(err, "register message type %T", t)
		}
		registered[reflect.TypeOf(t)] = true
	}
	enc, err := cbor.EncOptions{}.EncModeWithTags(tags)
	if err != nil {
		return nil, err
	}
	dec, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestingLevels,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecModeWithTags(tags)
	if err != nil {
		return nil, err
	}
	return &Codec{enc: enc, dec: dec, types: registered}, nil
}

// Encode returns the CBOR encoding of a message.
func (c *Codec) Encode(msg any) ([]byte, error) { return c.enc.Marshal(msg) }

// Decode decodes one message. It fails if the message's type was not passed to
// NewCodec.
func (c *Codec) Decode(data []byte) (any, error) {
	var msg any
	if err := c.dec.Unmarshal(data, &msg); err != nil {
		return nil, err
	}
	return c.checkType(msg)
}

// reader returns a function that decodes the next message from r, which may
// take at most maxMessageBytes.
func (c *Codec) reader(r io.Reader) func() (any, error) {
	limited := &limitedReader{r: r}
	dec := c.dec.NewDecoder(limited)
	return func() (any, error) {
		limited.remaining = maxMessageBytes
		var msg any
		if err := dec.Decode(&msg); err != nil {
			return nil, err
		}
		return c.checkType(msg)
	}
}

// checkType returns an error if the type of msg was not passed to NewCodec. The
// CBOR library also decodes types of its own, such as maps, times and big
// numbers.
func (c *Codec) checkType(msg any) (any, error) {
	if !c.types[reflect.TypeOf(msg)] {
		return nil, errors.Newf("message has unregistered type %T", msg)
	}
	return msg, nil
}

// limitedReader returns an error when a message exceeds maxMessageBytes. The
// caller resets remaining before each message.
type limitedReader struct {
	r         io.Reader
	remaining int
}

// Read reads at most the remaining number of bytes.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errors.Newf("message exceeds %d bytes", maxMessageBytes)
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
