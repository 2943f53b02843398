package bluebelltray

import (
	"context"
	"time"

	"bluebelltray/core/bbtcatalog"
	"github.com/cockroachdb/errors"
)

// ErrHistoryUnavailable says that a platform no longer has the changes asked for, so
// that everything has to be loaded anew.
var ErrHistoryUnavailable = errors.New("history is gone")

// Source reads what a platform publishes. Nothing can be written through it.
type Source interface {
	// Load returns everything that is published.
	Load(ctx context.Context) (bbtcatalog.Update, error)

	// Watch waits up to wait for changes after a revision and returns them. It
	// returns ErrHistoryUnavailable if they are no longer known.
	Watch(ctx context.Context, after uint64, wait time.Duration) (bbtcatalog.Update, error)
}
