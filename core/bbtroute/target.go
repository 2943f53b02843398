package bbtroute

import "bluebelltray/core/bbtfleet"

// Target is an endpoint in service and the host that owns it.
type Target struct {
	Endpoint bbtfleet.Endpoint
	Owner    bbtfleet.HostID
}
