package bbtpeer

import (
	"bytes"
	"io"
	"testing"
)

// sample is a message of the fuzz targets.
type sample struct {
	Text  string   `cbor:"1,keyasint"`
	Parts [][]byte `cbor:"2,keyasint,omitempty"`
	Inner *sample  `cbor:"3,keyasint,omitempty"`
}

// seeds adds messages that the codec accepts and refuses.
func seeds(f *testing.F, c *Codec) {
	f.Helper()
	whole, err := c.Encode(sample{Text: "a", Parts: [][]byte{{1}}, Inner: &sample{Text: "b"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add(append(bytes.Clone(whole), whole...))
	f.Add([]byte{0xd8, 0xff, 0x01})                         // a tag of no type
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

// checkAgain checks that a decoded message is of the codec's type and survives
// a round trip.
func checkAgain(t *testing.T, c *Codec, msg any) {
	t.Helper()
	if _, ok := msg.(sample); !ok {
		t.Fatalf("got a message of type %T, want %T", msg, sample{})
	}
	data, err := c.Encode(msg)
	if err != nil {
		t.Fatalf("got %v encoding a decoded message, want no error", err)
	}
	again, err := c.Decode(data)
	if err != nil {
		t.Fatalf("got %v decoding it again, want no error", err)
	}
	twice, err := c.Encode(again)
	if err != nil || !bytes.Equal(twice, data) {
		t.Errorf("got %x (%v) after a round trip, want %x", twice, err, data)
	}
}

func FuzzDecode(f *testing.F) {
	c := fuzzCodec(f)
	seeds(f, c)
	f.Fuzz(func(t *testing.T, data []byte) {
		if msg, err := c.Decode(data); err == nil {
			checkAgain(t, c, msg)
		}
	})
}

func FuzzReader(f *testing.F) {
	c := fuzzCodec(f)
	seeds(f, c)
	f.Fuzz(func(t *testing.T, data []byte) {
		next := c.reader(bytes.NewReader(data))
		for range len(data) + 1 { // each message takes a byte at least
			msg, err := next()
			if err != nil {
				return
			}
			checkAgain(t, c, msg)
		}
		t.Errorf("got more messages than bytes, want at most %d", len(data))
	})
}

// endless is a byte string without an end behind its head.
type endless struct {
	head []byte
	read int
}

func (r *endless) Read(p []byte) (int, error) {
	n := copy(p, r.head)
	r.head = r.head[n:]
	if n == 0 {
		n = len(p)
	}
	r.read += n
	return n, nil
}

func TestReaderIsBounded(t *testing.T) {
	c, err := NewCodec(sample{})
	if err != nil {
		t.Fatal(err)
	}
	// A tag of the codec's type and a text that claims one byte more than fits.
	r := &endless{head: []byte{0xd8, firstTag, 0xa1, 0x01, 0x7a, 0x00, 0x40, 0x00, 0x01}}
	if msg, err := c.reader(io.Reader(r))(); err == nil {
		t.Errorf("got %T, want a refusal", msg)
	}
	if got, most := r.read, maxMessageBytes; got > most {
		t.Errorf("got %d bytes read, want at most %d", got, most)
	}
}
