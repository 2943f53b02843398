package bbtpeer_test

import (
	"net"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/io/bbtmetric"
	"bluebelltray/io/bbtpeer"
)

// greeting is the message type of these tests.
type greeting struct {
	Text string `cbor:"1,keyasint"`
}

// startSelfSignedNode starts a node with a self-signed identity. The host's ID
// is the IP address that it listens on.
func startSelfSignedNode(t *testing.T, host bbtfleet.HostID) (*bbtpeer.Node, string) {
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

func TestSelfSignedPeerIsIdentifiedByAddress(t *testing.T) {
	a, _ := startSelfSignedNode(t, "127.0.0.2")
	b, addr := startSelfSignedNode(t, "127.0.0.3")
	a.SetHosts([]bbtfleet.Host{bbtfleet.NewHost("127.0.0.3", "", bbtfleet.WithPeerAddr(addr))})
	if !a.Send("127.0.0.3", greeting{"hello"}) {
		t.Fatal("got false from Send, want the message queued")
	}
	in := <-b.Inbox()
	if got := in.From(); got != "127.0.0.2" {
		t.Errorf("got sender %s, want 127.0.0.2, its source address", got)
	}
	if got, ok := in.Message().(greeting); !ok || got.Text != "hello" {
		t.Errorf("got %v, want the greeting", in.Message())
	}
}
