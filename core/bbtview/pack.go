package bbtview

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// maxPartSize is the maximum size of a part's content in bytes.
const maxPartSize = 1 << 20

// errPartTooLarge reports a part larger than maxPartSize.
var errPartTooLarge = errors.New("part exceeds the maximum part size")

// compress compresses the content of a part.
func compress(data []byte) []byte {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		panic(err) // cannot happen: the level is valid
	}
	w.Write(data) // writes to a bytes.Buffer cannot fail
	w.Close()
	return buf.Bytes()
}

// decompress returns the content of a compressed part.
func decompress(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	data, err := io.ReadAll(io.LimitReader(r, maxPartSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress part")
	}
	if len(data) > maxPartSize {
		return nil, errPartTooLarge
	}
	return data, nil
}
