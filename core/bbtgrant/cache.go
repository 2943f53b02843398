package bbtgrant

import "bluebelltray/core/bbtfleet"

// CacheEvent reports that an endpoint's prompt cache has stored or evicted a
// prefix. Events may arrive late, and some may be missing.
type CacheEvent struct {
	Endpoint bbtfleet.EndpointID
	Prefix   uint64
	Evicted  bool
}
