package bbtgrant

import "bluebelltray/core/bbtfleet"

// CacheEvent says that an endpoint's cache has taken up or evicted a prefix.
// Such events come late and with gaps.
type CacheEvent struct {
	Endpoint bbtfleet.EndpointID
	Prefix   uint64
	Evicted  bool
}
