package bbtowner

import (
	"cmp"

	"github.com/cockroachdb/errors"
)

// Bits of a fencing number, from the highest.
const (
	configBits = 22 // configuration revision
	listBits   = 22 // host list revision
	epochBits  = 16 // changes of the owner under these revisions
	rankBits   = 4  // rank in hash order
)

// ErrFenceRange says that a part of a fence is too large for a fencing number.
var ErrFenceRange = errors.New("fence does not fit a fencing number")

// Fence orders the successive owners of an endpoint: by published revisions,
// then by the epoch that electors agree on, then by rank in hash order.
type Fence struct {
	view  View
	epoch uint32
	rank  int
}

// NewFence returns the fence of the owner of the given rank.
func NewFence(v View, epoch uint32, rank int) Fence { return Fence{view: v, epoch: epoch, rank: rank} }

// Epoch returns the number of the ownership.
func (f Fence) Epoch() uint32 { return f.epoch }

// Compare returns a number below, equal to or above zero as f comes before,
// with or after other.
func (f Fence) Compare(other Fence) int {
	return cmp.Or(
		cmp.Compare(f.view.Config, other.view.Config),
		cmp.Compare(f.view.List, other.view.List),
		cmp.Compare(f.epoch, other.epoch),
		cmp.Compare(f.rank, other.rank),
	)
}

// Number returns the fence as one number of the same order, which is never
// zero. It returns ErrFenceRange if a part is too large.
func (f Fence) Number() (uint64, error) {
	if f.view.Config >= 1<<configBits || f.view.List >= 1<<listBits || f.epoch >= 1<<epochBits || f.rank >= 1<<rankBits-1 {
		return 0, ErrFenceRange
	}
	n := f.view.Config
	n = n<<listBits | f.view.List
	n = n<<epochBits | uint64(f.epoch)
	return n<<rankBits | uint64(f.rank+1), nil
}
