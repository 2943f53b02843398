package bbtview

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// maxPart is the largest content of a part, in bytes.
const maxPart = 1 << 20

// errPartSize says that a part is larger than a value may be.
var errPartSize = errors.New("part is larger than a value may be")

// pack compresses the content of a part.
func pack(data []byte) []byte {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is a valid one
	}
	w.Write(data) // a bytes.Buffer takes everything
	w.Close()
	return buf.Bytes()
}

// unpack returns the content of a compressed part.
func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(r, maxPart+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack part")
	}
	if len(data) > maxPart {
		return nil, errPartSize
	}
	return data, nil
}
