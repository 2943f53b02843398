package bbtowner

import (
	"cmp"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
)

// Bits of a fencing number, from the highest.
const (
	configBits = 28 // configuration revision
	listBits   = 28 // host list revision
	rankBits   = 8  // rank in hash order
)

// ErrFenceRange says that a revision does not fit a fencing number.
var ErrFenceRange = errors.New("revision does not fit a fencing number")

// Fence orders the owners of an endpoint: by published configuration revision,
// then host list revision, then rank. No two hosts have an equal fence for one
// endpoint, and nothing shared is written to make one.
type Fence struct {
	config bbtfleet.Revision
	list   bbtfleet.Revision
	rank   int
}

// Fence returns the fence of the host for orders to the endpoint and whether
// the host has a rank there.
func (m *Map) Fence(id bbtfleet.EndpointID, host bbtfleet.HostID) (Fence, bool) {
	rank, ok := m.Rank(id, host)
	return Fence{config: m.config.Version().Revision(), list: m.list, rank: rank}, ok
}

// Compare returns a number below, equal to or above zero as f comes before,
// with or after other.
func (f Fence) Compare(other Fence) int {
	return cmp.Or(
		cmp.Compare(f.config, other.config),
		cmp.Compare(f.list, other.list),
		cmp.Compare(f.rank, other.rank),
	)
}

// Number returns the fence as one number of the same order. It returns
// ErrFenceRange if a revision is too large for it.
func (f Fence) Number() (uint64, error) {
	if f.config >= 1<<configBits || f.list >= 1<<listBits || f.rank >= 1<<rankBits {
		return 0, ErrFenceRange
	}
	return uint64(f.config)<<(listBits+rankBits) | uint64(f.list)<<rankBits | uint64(f.rank), nil
}
