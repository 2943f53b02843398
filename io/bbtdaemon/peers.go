package bbtdaemon

import (
	"context"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/io/bbtpeer"
)

// peers sends messages to and receives messages from the other hosts.
type peers interface {
	SetHosts(hosts []bbtfleet.Host)
	Send(to bbtfleet.HostID, msg any) bool
	Open(ctx context.Context, to bbtfleet.HostID) (*bbtpeer.Exchange, error)
	Reconnect(host bbtfleet.HostID)
	Disconnect(host bbtfleet.HostID)
	Inbox() <-chan bbtpeer.Inbound
	Exchanges() <-chan *bbtpeer.Exchange
	Lost() <-chan bbtfleet.HostID
	Close() error
}

var _ peers = (*bbtpeer.Node)(nil)
