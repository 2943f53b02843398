package bbtpeer

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// exchangeIdleTimeout limits each send and each wait for a message.
const exchangeIdleTimeout = 15 * time.Second

// Exchange is a bidirectional stream that carries one request and its response
// messages.
type Exchange struct {
	host   bbtfleet.HostID
	stream *quic.Stream
	codec  *Codec
	next   func() (any, error)
}

func newExchange(host bbtfleet.HostID, stream *quic.Stream, codec *Codec) *Exchange {
	return &Exchange{host: host, stream: stream, codec: codec, next: codec.reader(stream)}
}

// Host returns the peer at the other end.
func (e *Exchange) Host() bbtfleet.HostID { return e.host }

// Send writes a message. After an error the peer may or may not have received
// it.
func (e *Exchange) Send(msg any) error {
	data, err := e.codec.Encode(msg)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	if err := e.stream.SetWriteDeadline(time.Now().Add(exchangeIdleTimeout)); err != nil {
		return err
	}
	_, err = e.stream.Write(data)
	return err
}

// Receive waits for the next message. It returns io.EOF after the last one and a
// timeout error if none arrives within exchangeIdleTimeout.
func (e *Exchange) Receive() (any, error) {
	if err := e.stream.SetReadDeadline(time.Now().Add(exchangeIdleTimeout)); err != nil {
		return nil, err
	}
	return e.next()
}

// Close closes the sending direction.
func (e *Exchange) Close() error { return e.stream.Close() }

// Cancel resets the stream in both directions.
func (e *Exchange) Cancel() {
	e.stream.CancelRead(0)
	e.stream.CancelWrite(0)
}
