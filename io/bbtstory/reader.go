package bbtstory

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the maximum length of a line. Longer ones count as malformed.
const maxLineBytes = 1 << 20

// Reader reads log lines sequentially, in bounded memory.
type Reader struct {
	in        *bufio.Reader
	malformed int
	bytesRead int64
}

// NewReader returns a Reader that reads log lines from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, maxLineBytes)} }

// Malformed returns the number of log lines that were too long or could not be
// decoded.
func (r *Reader) Malformed() int { return r.malformed }

// BytesRead returns the number of bytes read so far.
func (r *Reader) BytesRead() int64 { return r.bytesRead }

// Next returns the next well-formed log line, or io.EOF after the last one. Lines
// of other programs are skipped; malformed log lines are skipped and counted.
func (r *Reader) Next() (Line, error) {
	for {
		text, err := r.in.ReadSlice('\n')
		r.bytesRead += int64(len(text))
		if errors.Is(err, bufio.ErrBufferFull) {
			r.malformed++
			if err := r.skipLine(); err != nil {
				return Line{}, err
			}
			continue
		}
		if len(bytes.TrimSpace(text)) > 0 {
			l, parseErr := ParseLine(text)
			if parseErr == nil && l.Message != "" {
				return l, nil
			}
			if bytes.Contains(text, []byte(`{"level"`)) {
				r.malformed++
			}
		}
		if err != nil {
			return Line{}, err
		}
	}
}

// skipLine skips the rest of a line that is too long.
func (r *Reader) skipLine() error {
	for {
		text, err := r.in.ReadSlice('\n')
		r.bytesRead += int64(len(text))
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
