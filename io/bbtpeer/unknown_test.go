package bbtpeer_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Guards against replies that are dropped since the host that asks is not known yet,
// though it has opened a connection.
func TestUnknownHostGetsRepliesOverItsConnection(t *testing.T) {
	ca := newAuthority(t)
	a, _ := startNode(t, ca, "a", "127.0.0.1:0", newCounts())
	b, hostB := startNode(t, ca, "b", "127.0.0.1:0", newCounts())
	a.SetHosts([]bbtfleet.Host{hostB})
	if b.Send("a", note{"early"}) {
		t.Error("got a message queued for a host without a connection, want it dropped")
	}
	a.Send("b", note{"question"})
	<-b.Inbox()
	if !b.Send("a", note{"answer"}) {
		t.Fatal("got the reply dropped, want it sent")
	}
	if got, want := (<-a.Inbox()).Message(), (note{"answer"}); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	a.Close()
	for deadline := time.Now().Add(10 * time.Second); b.Send("a", note{"late"}); <-time.After(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("got messages queued for 10 s after the connection ended, want them dropped")
		}
	}
}
