package main

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"syscall"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/io/bbtdaemon"
	"bluebelltray/io/bbtkey"
	"bluebelltray/io/bbtmetric"
	"bluebelltray/io/bbtpeer"
	"github.com/cockroachdb/errors"
)

// Timing of a measurement.
const (
	roundInterval = 2 * time.Millisecond   // between rounds of messages
	settleTime    = 200 * time.Millisecond // for acknowledgements that are still to come
	certLifetime  = time.Hour
)

// result is the cost for one host. Both ends of each connection are in this
// process, so memory and CPU time are halved.
type result struct {
	memoryKiB      float64 // per connection
	handshakeBytes float64 // per connection, first message included
	messageBytes   float64 // per message, acknowledgements included
	cpuMicros      float64 // per message
}

// cluster is the measured host and its peers.
type cluster struct {
	hub   *bbtpeer.Node
	conn  *countingConn
	peers []*bbtpeer.Node
	hosts []bbtfleet.Host
}

// measure connects a host to n peers, sends messages to each and returns the cost.
func measure(ctx context.Context, n, messages int) (result, error) {
	c, err := newCluster(n)
	if err != nil {
		return result{}, err
	}
	defer c.close()
	idle := memoryInUse()
	if err := c.sendRound(ctx); err != nil {
		return result{}, err
	}
	sleep(ctx, settleTime)
	r := result{
		memoryKiB:      float64(memoryInUse()-idle) / float64(2*n) / 1024,
		handshakeBytes: float64(c.conn.bytes.Load()) / float64(n),
	}
	startBytes, startCPU := c.conn.bytes.Load(), cpuTime()
	for range messages {
		if err := c.sendRound(ctx); err != nil {
			return result{}, err
		}
		sleep(ctx, roundInterval)
	}
	sleep(ctx, settleTime)
	sent := float64(n * messages)
	r.messageBytes = float64(c.conn.bytes.Load()-startBytes) / sent
	r.cpuMicros = float64((cpuTime() - startCPU).Microseconds()) / sent / 2
	return r, nil
}

// newCluster starts the measured host and n peers.
func newCluster(n int) (*cluster, error) {
	authority, err := bbtkey.NewAuthority(certLifetime)
	if err != nil {
		return nil, err
	}
	c := &cluster{}
	c.hub, c.conn, err = c.startHost(authority, "hub")
	if err != nil {
		return nil, err
	}
	for i := range n {
		p, _, err := c.startHost(authority, bbtfleet.HostID(fmt.Sprintf("peer-%d", i)))
		if err != nil {
			return nil, err
		}
		c.peers = append(c.peers, p)
	}
	c.hub.SetHosts(c.hosts)
	return c, nil
}

// startHost starts a host on a UDP socket of its own and adds it to the host list.
func (c *cluster) startHost(a *bbtkey.Authority, id bbtfleet.HostID) (*bbtpeer.Node, *countingConn, error) {
	codec, err := bbtdaemon.NewCodec()
	if err != nil {
		return nil, nil, err
	}
	cert, err := a.Issue(id)
	if err != nil {
		return nil, nil, err
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, nil, err
	}
	conn := &countingConn{PacketConn: socket, socket: socket}
	c.hosts = append(c.hosts, bbtfleet.NewHost(id, "z", bbtfleet.WithPeerAddr(socket.LocalAddr().String())))
	node, err := bbtpeer.Listen(id, conn, bbtpeer.NewIdentity(cert, a.Pool()), codec, bbtmetric.New())
	return node, conn, err
}

// sendRound sends a message of typical size to each peer and waits until all of
// them have arrived.
func (c *cluster) sendRound(ctx context.Context) error {
	for _, h := range c.hosts[1:] {
		c.hub.Send(h.ID(), bbtgrant.Registration{
			Request: 123456, Pool: "summary", Account: "account-12345", Tier: 2,
			SentAt: time.Hour, TimeLeft: time.Second, InputTokens: 1500, OutputTokens: 200, Prefix: 1 << 60,
		})
	}
	for _, p := range c.peers {
		select {
		case <-p.Inbox():
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for messages to arrive")
		}
	}
	return nil
}

// close shuts down all hosts.
func (c *cluster) close() {
	c.hub.Close()
	for _, p := range c.peers {
		p.Close()
	}
}

// memoryInUse returns the bytes of heap and stacks in use after garbage collection.
// The second collection frees what the first one left in pools or to finalizers.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
