package bluebelltray

import (
	"context"
	"time"

	"bluebelltray/core/bbtcatalog"
	"github.com/cockroachdb/errors"
)

// ErrHistoryUnavailable means that the platform no longer has the requested
// changes, so that the full state must be loaded again.
var ErrHistoryUnavailable = errors.New("change history after the requested revision is no longer available")

// Source provides read-only access to the state that a platform publishes.
type Source interface {
	// Load returns the full published state.
	Load(ctx context.Context) (bbtcatalog.Update, error)

	// Watch returns the changes after a position. If there are none yet, it waits
	// for at most the given time. It returns ErrHistoryUnavailable if the platform
	// no longer has the changes. An update of another era than that of the position
	// lacks changes, since platforms are asked by revision alone.
	Watch(ctx context.Context, after bbtcatalog.Position, wait time.Duration) (bbtcatalog.Update, error)
}
