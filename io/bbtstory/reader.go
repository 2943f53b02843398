package bbtstory

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxLine is the longest line in bytes that is read; longer ones count as torn.
const maxLine = 1 << 20

// Reader reads log lines one after the other, in bounded memory.
type Reader struct {
	in   *bufio.Reader
	torn int
	read int64
}

// NewReader returns a reader of the lines of in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, maxLine)} }

// Malformed returns how many lines could not be read.
func (r *Reader) Malformed() int { return r.torn }

// BytesRead returns how many bytes were read.
func (r *Reader) BytesRead() int64 { return r.read }

// Next returns the next line that can be read; io.EOF behind the last one.
// Lines that hold no log line, as those of other programs, are passed over;
// torn ones are counted.
func (r *Reader) Next() (Line, error) {
	for {
		text, err := r.in.ReadSlice('\n')
		r.read += int64(len(text))
		if errors.Is(err, bufio.ErrBufferFull) {
			r.torn++
			if err := r.skip(); err != nil {
				return Line{}, err
			}
			continue
		}
		if len(bytes.TrimSpace(text)) > 0 {
			l, perr := ParseLine(text)
			if perr == nil && l.Message != "" {
				return l, nil
			}
			if bytes.Contains(text, []byte(`{"level"`)) {
				r.torn++
			}
		}
		if err != nil {
			return Line{}, err
		}
	}
}

// skip passes over the rest of a line that is too long.
func (r *Reader) skip() error {
	for {
		text, err := r.in.ReadSlice('\n')
		r.read += int64(len(text))
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
