package bbtowner

import (
	"cmp"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
)

// Bits of a fencing token, from the highest.
const (
	configBits = 22 // configuration revision
	listBits   = 22 // host list revision
	epochBits  = 16 // epoch, raised by an owner that the endpoint has refused
	rankBits   = 4  // rank in hash order
)

// ErrFenceRange is returned when a field of a fence does not fit into a fencing
// token.
var ErrFenceRange = errors.New("revision, epoch or rank exceeds its bits in a fencing token")

// Fence orders the successive owners of an endpoint: by published revisions,
// then by an epoch that owners raise, then by rank in hash order.
type Fence struct {
	view  View
	epoch uint32
	rank  int
}

// NewFence returns the fence of the owner of the given rank.
func NewFence(v View, epoch uint32, rank int) Fence { return Fence{view: v, epoch: epoch, rank: rank} }

// ParseFence returns the fence that Token encoded.
func ParseFence(token uint64) Fence {
	return Fence{
		view: NewView(
			bbtfleet.Revision(token>>(listBits+epochBits+rankBits)),
			bbtfleet.Revision(token>>(epochBits+rankBits)&(1<<listBits-1))),
		epoch: uint32(token >> rankBits & (1<<epochBits - 1)),
		rank:  int(token&(1<<rankBits-1)) - 1,
	}
}

// Epoch returns the number that owners raise when the endpoint refuses them.
func (f Fence) Epoch() uint32 { return f.epoch }

// Compare returns a negative number, zero or a positive number if f is ordered
// before, equal to or after other.
func (f Fence) Compare(other Fence) int {
	return cmp.Or(
		cmp.Compare(f.view.config, other.view.config),
		cmp.Compare(f.view.list, other.view.list),
		cmp.Compare(f.epoch, other.epoch),
		cmp.Compare(f.rank, other.rank),
	)
}

// Token encodes the fence as a fencing token: a nonzero number that preserves
// the order of Compare. It returns ErrFenceRange if a field is too large.
func (f Fence) Token() (uint64, error) {
	if f.view.config >= 1<<configBits || f.view.list >= 1<<listBits || f.epoch >= 1<<epochBits || f.rank >= 1<<rankBits-1 {
		return 0, ErrFenceRange
	}
	n := uint64(f.view.config)
	n = n<<listBits | uint64(f.view.list)
	n = n<<epochBits | uint64(f.epoch)
	return n<<rankBits | uint64(f.rank+1), nil
}
