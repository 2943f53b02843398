package bbtpeer_test

import (
	"net"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/io/bbtmetric"
	"bluebelltray/io/bbtpeer"
)

// greeting is a message of the tests.
type greeting struct {
	Text string `cbor:"1,keyasint"`
}

// openNode starts a node at an address of its own that is known by its IP
// address.
func openNode(t *testing.T, host bbtfleet.HostID) (*bbtpeer.Node, string) {
	t.Helper()
	conn, err := net.ListenPacket("udp4", string(host)+":0")
	if err != nil {
		t.Fatal(err)
	}
	id, err := bbtpeer.NewSelfSignedIdentity(host, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	codec, err := bbtpeer.NewCodec(greeting{})
	if err != nil {
		t.Fatal(err)
	}
	n, err := bbtpeer.Listen(host, conn, id, codec, bbtmetric.New())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close() })
	return n, conn.LocalAddr().String()
}

func TestOpenHostsAreKnownByTheirAddresses(t *testing.T) {
	a, _ := openNode(t, "127.0.0.2")
	b, addr := openNode(t, "127.0.0.3")
	a.SetHosts([]bbtfleet.Host{bbtfleet.NewHost("127.0.0.3", "", bbtfleet.WithPeerAddr(addr))})
	if !a.Send("127.0.0.3", greeting{"hello"}) {
		t.Fatal("got the message refused")
	}
	in := <-b.Inbox()
	if got := in.From(); got != "127.0.0.2" {
		t.Errorf("got sender %s, want the address that it spoke from", got)
	}
	if got, ok := in.Message().(greeting); !ok || got.Text != "hello" {
		t.Errorf("got %v, want the greeting", in.Message())
	}
}
