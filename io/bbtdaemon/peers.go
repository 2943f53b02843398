package bbtdaemon

import (
	"context"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/io/bbtpeer"
)

// peers is a host's end of the connections to its peers.
type peers interface {
	SetHosts(hosts []bbtfleet.Host)
	Send(to bbtfleet.HostID, msg any) bool
	Open(ctx context.Context, to bbtfleet.HostID) (*bbtpeer.Exchange, error)
	Reset(host bbtfleet.HostID)
	Inbox() <-chan bbtpeer.Inbound
	Exchanges() <-chan *bbtpeer.Exchange
	Lost() <-chan bbtfleet.HostID
	Close() error
}

var _ peers = (*bbtpeer.Node)(nil)
