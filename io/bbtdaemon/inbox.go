package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
	"bluebelltray/io/bbtpeer"
)

// peerReceiver passes incoming messages, exchanges and connection losses from a
// peer node to its daemon.
type peerReceiver struct {
	daemon *Daemon
	node   peers
}

// run posts what the node receives until the daemon is closed.
func (r *peerReceiver) run() {
	for {
		select {
		case m := <-r.node.Inbox():
			r.daemon.post(messageReceived{m.From(), m.Message()})
		case ex := <-r.node.Exchanges():
			x := &incomingExchange{daemon: r.daemon, exchange: ex}
			r.daemon.wg.Go(x.run)
		case host := <-r.node.Lost():
			r.daemon.post(connectionLost{host})
		case <-r.daemon.ctx.Done():
			return
		}
	}
}

// connectionLost reports that the connection to a host was lost.
type connectionLost struct{ host bbtfleet.HostID }

// apply lets the executor end the calls whose reply was expected on the
// connection.
func (ev connectionLost) apply(d *Daemon, now time.Time) {
	d.stepExecutor(now, bbtexec.PeerLost{Host: ev.host})
}

// incomingExchange is an exchange opened by a peer.
type incomingExchange struct {
	daemon   *Daemon
	exchange *bbtpeer.Exchange
}

// run receives the first message of the exchange and posts it.
func (x *incomingExchange) run() {
	msg, err := x.exchange.Receive()
	if err != nil {
		x.exchange.Cancel()
		return
	}
	switch m := msg.(type) {
	case bbtview.Query:
		x.daemon.post(queryReceived{x.exchange, m})
	default:
		x.daemon.counters.Add("peer-messages-unexpected", 1)
		x.exchange.Cancel()
	}
}
