package bbtowner

import "time"

// Fencer assigns fencing tokens to a host's requests to one endpoint. The zero
// value is ready for use.
type Fencer struct {
	view     View // view of the last token
	epoch    uint32
	raisedAt time.Time // when the host last raised its epoch
}

// Token returns the fencing token for a request that the host sends under the
// view with the given rank. It returns ErrFenceRange if the token does not
// fit.
func (f *Fencer) Token(v View, rank int) (uint64, error) {
	f.view = v
	return NewFence(v, f.epoch, rank).Token()
}

// RaiseEpoch handles the refusal of a request by the endpoint, which has seen the
// given larger token. It raises the epoch, so that the host's next token is
// larger than that one, and returns true. It does nothing and returns false if
// the larger token has newer revisions, which the host must learn first, or if
// the host has raised its epoch within the last TakeoverDelay. The delay keeps
// two ranks that may both use an endpoint from raising their epochs in turn with
// every request.
func (f *Fencer) RaiseEpoch(now time.Time, token uint64) bool {
	other := ParseFence(token)
	if NewFence(f.view, 0, 0).Compare(NewFence(other.view, 0, 0)) < 0 {
		return false
	}
	if !f.raisedAt.IsZero() && now.Sub(f.raisedAt) < TakeoverDelay {
		return false
	}
	f.epoch = max(f.epoch, other.epoch+1)
	f.raisedAt = now
	return true
}
