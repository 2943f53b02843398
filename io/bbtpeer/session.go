package bbtpeer

import (
	"context"

	"bluebelltray/core/bbtfleet"
	"github.com/quic-go/quic-go"
)

// session reads messages and accepts exchanges on one connection.
type session struct {
	node *Node
	host bbtfleet.HostID
	conn *quic.Conn
}

// run reads message streams, one at a time, until the connection is closed.
func (s *session) run() {
	stop := context.AfterFunc(s.node.ctx, func() { s.conn.CloseWithError(0, "closed") })
	defer stop()
	for {
		stream, err := s.conn.AcceptUniStream(s.node.ctx)
		if err != nil {
			break
		}
		s.readStream(stream)
	}
	s.node.connectionClosed(s.host, s.conn)
}

// readStream delivers a stream's messages to the node's inbox. A message that
// cannot be decoded closes the connection, since the bytes after it cannot be
// trusted.
func (s *session) readStream(stream *quic.ReceiveStream) {
	next := s.node.codec.reader(stream)
	for {
		msg, err := next()
		if err != nil {
			if s.conn.Context().Err() == nil {
				s.node.recorder.Add("peer-messages-unreadable", 1)
				s.conn.CloseWithError(0, "unreadable message")
			}
			return
		}
		select {
		case s.node.inbox <- Inbound{from: s.host, message: msg}:
		case <-s.node.ctx.Done():
			return
		}
	}
}

// loop accepts the peer's exchanges until the connection is closed. Those
// that exceed the node's queue are cancelled.
func (s *session) loop() {
	for {
		stream, err := s.conn.AcceptStream(s.node.ctx)
		if err != nil {
			return
		}
		ex := newExchange(s.host, stream, s.node.codec)
		select {
		case s.node.exchanges <- ex:
		default:
			s.node.recorder.Add("peer-exchanges-refused", 1)
			ex.Cancel()
		}
	}
}
