package bluebelltray

import (
	"context"

	"bluebelltray/core/bbtfleet"
)

// Platform provides read-only access to the data that the platform publishes: the
// configuration, which operators write, and the host list.
type Platform interface {
	// Read returns the value of a key. The error is nil only if the value was
	// read completely.
	Read(ctx context.Context, key string) (bbtfleet.Value, error)

	// Watch waits until the revision of a key's value exceeds after and returns
	// the value. It returns the context's error if ctx is done first.
	Watch(ctx context.Context, key string, after bbtfleet.Revision) (bbtfleet.Value, error)

	// Hosts returns the platform's host list, which may be out of date.
	Hosts(ctx context.Context) (bbtfleet.HostList, error)
}
