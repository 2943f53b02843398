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

// Shapes of a measurement.
const (
	gap     = 2 * time.Millisecond // between two rounds of messages
	settle  = 200 * time.Millisecond
	keyLife = time.Hour
)

// result is what one host pays. Both ends of each connection are in this
// process; memory and processor time are halved.
type result struct {
	memory    float64 // KiB a connection
	handshake float64 // bytes a connection
	message   float64 // bytes a message, acknowledgements included
	processor float64 // µs a message
}

// group is one host and its peers.
type group struct {
	hub   *bbtpeer.Node
	conn  *countingConn
	peers []*bbtpeer.Node
	hosts []bbtfleet.Host
}

// measure connects a host to n peers and sends messages to each.
func measure(ctx context.Context, n, messages int) (result, error) {
	g, err := newGroup(n)
	if err != nil {
		return result{}, err
	}
	defer g.close()
	idle := heap()
	if err := g.round(ctx); err != nil {
		return result{}, err
	}
	pause(ctx, settle)
	r := result{
		memory:    float64(heap()-idle) / float64(2*n) / 1024,
		handshake: float64(g.conn.bytes.Load()) / float64(n),
	}
	start, used := g.conn.bytes.Load(), processor()
	for range messages {
		if err := g.round(ctx); err != nil {
			return result{}, err
		}
		pause(ctx, gap)
	}
	pause(ctx, settle)
	sent := float64(n * messages)
	r.message = float64(g.conn.bytes.Load()-start) / sent
	r.processor = float64((processor() - used).Microseconds()) / sent / 2
	return r, nil
}

// newGroup starts a host and n peers.
func newGroup(n int) (*group, error) {
	authority, err := bbtkey.NewAuthority(keyLife)
	if err != nil {
		return nil, err
	}
	g := &group{}
	g.hub, g.conn, err = g.start(authority, "hub")
	if err != nil {
		return nil, err
	}
	for i := range n {
		p, _, err := g.start(authority, bbtfleet.HostID(fmt.Sprintf("peer-%d", i)))
		if err != nil {
			return nil, err
		}
		g.peers = append(g.peers, p)
	}
	g.hub.SetHosts(g.hosts)
	return g, nil
}

// start starts one host.
func (g *group) start(a *bbtkey.Authority, id bbtfleet.HostID) (*bbtpeer.Node, *countingConn, error) {
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
	g.hosts = append(g.hosts, bbtfleet.NewHost(id, "z", bbtfleet.WithPeerAddr(socket.LocalAddr().String())))
	node, err := bbtpeer.Listen(id, conn, bbtpeer.NewIdentity(cert, a.Pool()), codec, bbtmetric.New())
	return node, conn, err
}

// round sends a message of typical size to each peer and waits until all have
// arrived.
func (g *group) round(ctx context.Context) error {
	for _, h := range g.hosts[1:] {
		g.hub.Send(h.ID(), bbtgrant.Registration{
			Request: 123456, Pool: "summary", Account: "account-12345", Tier: 2,
			SentAt: time.Hour, TimeLeft: time.Second, InputTokens: 1500, OutputTokens: 200, Prefix: 1 << 60,
		})
	}
	for _, p := range g.peers {
		select {
		case <-p.Inbox():
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "messages did not arrive")
		}
	}
	return nil
}

// close ends all hosts.
func (g *group) close() {
	g.hub.Close()
	for _, p := range g.peers {
		p.Close()
	}
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// processor returns the processor time the process has used.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
