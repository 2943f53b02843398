package bbtpeer

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// exchangeSilence is how long an exchange may carry nothing.
const exchangeSilence = 15 * time.Second

// Exchange is one request to a peer and the messages that answer it.
type Exchange struct {
	host   bbtfleet.HostID
	stream *quic.Stream
	codec  *Codec
	next   func() (any, error)
}

// newExchange returns an exchange with host over stream.
func newExchange(host bbtfleet.HostID, stream *quic.Stream, codec *Codec) *Exchange {
	return &Exchange{host: host, stream: stream, codec: codec, next: codec.reader(stream)}
}

// Host returns the other end.
func (e *Exchange) Host() bbtfleet.HostID { return e.host }

// Send writes a message. An error leaves open whether the peer received it.
func (e *Exchange) Send(msg any) error {
	data, err := e.codec.Encode(msg)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	if err := e.stream.SetWriteDeadline(time.Now().Add(exchangeSilence)); err != nil {
		return err
	}
	_, err = e.stream.Write(data)
	return err
}

// Receive waits for the next message. It fails with io.EOF behind the last one
// and with a timeout when the peer stays silent.
func (e *Exchange) Receive() (any, error) {
	if err := e.stream.SetReadDeadline(time.Now().Add(exchangeSilence)); err != nil {
		return nil, err
	}
	return e.next()
}

// Close ends this side's messages.
func (e *Exchange) Close() error { return e.stream.Close() }

// Cancel breaks the exchange off in both directions.
func (e *Exchange) Cancel() {
	e.stream.CancelRead(0)
	e.stream.CancelWrite(0)
}
