// Package bbtpeer carries typed messages between entry hosts over QUIC with
// mutual TLS.
package bbtpeer

import (
	"io"
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Bounds of one message.
const (
	maxMessageBytes = 4 << 20
	maxNested       = 8
	maxElements     = 1 << 16
)

// firstTag is the CBOR tag of the first message type. Tags from 200 on take
// two bytes and are assigned to nothing that this protocol uses.
const firstTag = 200

// Codec encodes messages as a sequence of tagged CBOR items. Its tags follow
// the order of the types it was made with.
type Codec struct {
	enc   cbor.EncMode
	dec   cbor.DecMode
	types map[reflect.Type]bool
}

// NewCodec returns a codec of the given message types, one value of each. All
// hosts must use the same order.
func NewCodec(types ...any) (*Codec, error) {
	tags := cbor.NewTagSet()
	known := make(map[reflect.Type]bool, len(types))
	opts := cbor.TagOptions{EncTag: cbor.EncTagRequired, DecTag: cbor.DecTagRequired}
	for i, t := range types {
		if err := tags.Add(opts, reflect.TypeOf(t), firstTag+uint64(i)); err != nil {
			return nil, errors.Wrapf(err, "message type %T", t)
		}
		known[reflect.TypeOf(t)] = true
	}
	enc, err := cbor.EncOptions{}.EncModeWithTags(tags)
	if err != nil {
		return nil, err
	}
	dec, err := cbor.DecOptions{
		MaxNestedLevels:  maxNested,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecModeWithTags(tags)
	if err != nil {
		return nil, err
	}
	return &Codec{enc: enc, dec: dec, types: known}, nil
}

// Encode returns the bytes of a message.
func (c *Codec) Encode(msg any) ([]byte, error) { return c.enc.Marshal(msg) }

// Decode returns the message that data holds. It fails on a type that the
// codec was not made with.
func (c *Codec) Decode(data []byte) (any, error) {
	var msg any
	if err := c.dec.Unmarshal(data, &msg); err != nil {
		return nil, err
	}
	return c.known(msg)
}

// reader returns a function that reads one message after the other from r.
func (c *Codec) reader(r io.Reader) func() (any, error) {
	bounded := &boundedReader{r: r}
	dec := c.dec.NewDecoder(bounded)
	return func() (any, error) {
		bounded.left = maxMessageBytes
		var msg any
		if err := dec.Decode(&msg); err != nil {
			return nil, err
		}
		return c.known(msg)
	}
}

// known returns msg if its type is one of the codec's. The library decodes
// further ones by itself: maps, times, big numbers.
func (c *Codec) known(msg any) (any, error) {
	if !c.types[reflect.TypeOf(msg)] {
		return nil, errors.Newf("unknown message of type %T", msg)
	}
	return msg, nil
}

// boundedReader fails once a message takes more than its share of bytes.
type boundedReader struct {
	r    io.Reader
	left int
}

// Read reads at most what is left of the bound.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errors.Newf("message exceeds %d bytes", maxMessageBytes)
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
