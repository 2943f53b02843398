package bbtpeer

import (
	"bytes"
	"io"
	"testing"
)

// sample is the message type of the fuzz targets.
type sample struct {
	Text  string   `cbor:"1,keyasint"`
	Parts [][]byte `cbor:"2,keyasint,omitempty"`
	Inner *sample  `cbor:"3,keyasint,omitempty"`
}

// addSeeds adds valid and invalid encodings to the seed corpus.
func addSeeds(f *testing.F, c *Codec) {
	f.Helper()
	valid, err := c.Encode(sample{Text: "a", Parts: [][]byte{{1}}, Inner: &sample{Text: "b"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add(append(bytes.Clone(valid), valid...))
	f.Add([]byte{0xd8, 0xff, 0x01})                         // a tag without a message type
	f.Add([]byte{0x9b, 0, 0, 1, 0, 0, 0, 0, 0})             // an array that claims 2^40 elements
	f.Add([]byte{0x5b, 0x7f, 0xff, 0xff, 0xff, 0, 0, 0, 0}) // a string that claims 2^62 bytes
	f.Add([]byte{0xc1, 0x30})                               // a time
	f.Add([]byte{0xc2, 0x41, 0x01})                         // a big number
	f.Add([]byte{0xa1, 0x01, 0x61, 0x61})                   // a map without a tag
	f.Add(bytes.Repeat([]byte{0x81}, 64))                   // deeply nested arrays
}

// fuzzCodec returns the codec of the fuzz targets.
func fuzzCodec(f *testing.F) *Codec {
	f.Helper()
	c, err := NewCodec(sample{})
	if err != nil {
		f.Fatal(err)
	}
	return c
}

// checkRoundTrip checks that a decoded message has the codec's type and stays the
// same when it is encoded, decoded and encoded again.
func checkRoundTrip(t *testing.T, c *Codec, msg any) {
	t.Helper()
	if _, ok := msg.(sample); !ok {
		t.Fatalf("got a message of type %T, want %T", msg, sample{})
	}
	data, err := c.Encode(msg)
	if err != nil {
		t.Fatalf("got %v encoding a decoded message, want no error", err)
	}
	decoded, err := c.Decode(data)
	if err != nil {
		t.Fatalf("got %v decoding it again, want no error", err)
	}
	reencoded, err := c.Encode(decoded)
	if err != nil || !bytes.Equal(reencoded, data) {
		t.Errorf("got %x (%v) after a round trip, want %x", reencoded, err, data)
	}
}

func FuzzDecode(f *testing.F) {
	c := fuzzCodec(f)
	addSeeds(f, c)
	f.Fuzz(func(t *testing.T, data []byte) {
		if msg, err := c.Decode(data); err == nil {
			checkRoundTrip(t, c, msg)
		}
	})
}

func FuzzReader(f *testing.F) {
	c := fuzzCodec(f)
	addSeeds(f, c)
	f.Fuzz(func(t *testing.T, data []byte) {
		next := c.reader(bytes.NewReader(data))
		for range len(data) + 1 { // each message takes at least one byte
			msg, err := next()
			if err != nil {
				return
			}
			checkRoundTrip(t, c, msg)
		}
		t.Errorf("got more messages than bytes, want at most %d", len(data))
	})
}

// endlessReader returns the bytes of head, followed by an endless stream of
// unspecified bytes.
type endlessReader struct {
	head      []byte
	bytesRead int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	n := copy(p, r.head)
	r.head = r.head[n:]
	if n == 0 {
		n = len(p)
	}
	r.bytesRead += n
	return n, nil
}

func TestReaderLimitsMessageSize(t *testing.T) {
	c, err := NewCodec(sample{})
	if err != nil {
		t.Fatal(err)
	}
	// The tag of a registered type and a text that declares a length one byte over
	// the limit.
	r := &endlessReader{head: []byte{0xd8, firstMessageTag, 0xa1, 0x01, 0x7a, 0x00, 0x40, 0x00, 0x01}}
	if msg, err := c.reader(io.Reader(r))(); err == nil {
		t.Errorf("got %T, want an error", msg)
	}
	if got, limit := r.bytesRead, maxMessageBytes; got > limit {
		t.Errorf("got %d bytes read, want at most %d", got, limit)
	}
}
