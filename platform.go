package bluebelltray

import (
	"context"

	"bluebelltray/core/bbtfleet"
)

// Platform reads what operators publish: configuration values and the host
// list. Nothing can be written through it.
type Platform interface {
	// Read returns the value of a key. The error is nil only if the whole
	// value was read.
	Read(ctx context.Context, key string) (bbtfleet.Value, error)

	// Watch waits until the key's service revision exceeds after and returns
	// its value. It returns the context's error when ctx ends first.
	Watch(ctx context.Context, key string, after bbtfleet.Revision) (bbtfleet.Value, error)

	// Hosts returns the host list as the platform sees it, which may lag.
	Hosts(ctx context.Context) (bbtfleet.HostList, error)
}
