package main

import (
	"net"
	"sync/atomic"
)

// ipUDPHeaderBytes is the total size of the IPv4 and UDP headers of a packet.
const ipUDPHeaderBytes = 28

// countingConn counts the bytes that a UDP socket sends and receives, packet
// headers included. It hides the batched reads and writes of the socket, so that
// each packet goes through ReadFrom or WriteTo.
type countingConn struct {
	net.PacketConn
	socket *net.UDPConn
	bytes  atomic.Int64
}

// ReadFrom counts a received packet.
func (c *countingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, addr, err := c.PacketConn.ReadFrom(p)
	if err == nil {
		c.bytes.Add(int64(n + ipUDPHeaderBytes))
	}
	return n, addr, err
}

// WriteTo counts a sent packet.
func (c *countingConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	c.bytes.Add(int64(len(p) + ipUDPHeaderBytes))
	return c.PacketConn.WriteTo(p, addr)
}

// SetReadBuffer sets the size of the socket's receive buffer in bytes.
func (c *countingConn) SetReadBuffer(n int) error { return c.socket.SetReadBuffer(n) }

// SetWriteBuffer sets the size of the socket's send buffer in bytes.
func (c *countingConn) SetWriteBuffer(n int) error { return c.socket.SetWriteBuffer(n) }
