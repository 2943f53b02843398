package conform

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
)

// WithinSlots returns an invariant: the permits that can still be used are
// never more than the slots: within-slots of spec/grant.pml.
func WithinSlots(slots int) func([]Event) error {
	return func(trace []Event) error {
		var usable []PermitGranted
		for i, ev := range trace {
			p, ok := ev.(PermitGranted)
			if !ok {
				continue
			}
			usable = slices.DeleteFunc(usable, func(old PermitGranted) bool { return !p.At.Before(old.Expiry) })
			usable = append(usable, p)
			if len(usable) > slots {
				return errors.Newf("event %d: %s grants the permit %d of %d", i, p.Owner, len(usable), slots)
			}
		}
		return nil
	}
}

// NoneExpired returns an error if a request was dispatched under an expired
// permit: none-expired of spec/grant.pml.
func NoneExpired(trace []Event) error {
	for i, ev := range trace {
		if d, ok := ev.(RequestDispatched); ok && !d.At.Before(d.Expiry) {
			return errors.Newf("event %d: dispatched %v after the permit's expiry", i, d.At.Sub(d.Expiry))
		}
	}
	return nil
}

// FenceKept returns an error if an order was accepted after one of a larger
// token, or after one under a right that began once the order had been sent:
// fence-kept of spec/grant.pml.
func FenceKept(trace []Event) error {
	var last OrderAccepted
	for i, ev := range trace {
		o, ok := ev.(OrderAccepted)
		if !ok {
			continue
		}
		if o.Token < last.Token || o.SentAt.Before(last.RightSince) {
			return errors.Newf("event %d: order %#x of %s after %#x of %s", i, o.Token, o.Owner, last.Token, last.Owner)
		}
		last = o
	}
	return nil
}

// NoDispatchAfterWithdrawal returns an invariant: no request is dispatched to an endpoint later
// than within after it was taken out.
func NoDispatchAfterWithdrawal(within time.Duration) func([]Event) error {
	return func(trace []Event) error {
		out := make(map[bbtfleet.EndpointID]time.Time)
		for i, ev := range trace {
			switch ev := ev.(type) {
			case EndpointWithdrawn:
				out[ev.Endpoint] = ev.At
			case EndpointRestored:
				delete(out, ev.Endpoint)
			case RequestDispatched:
				if at, gone := out[ev.Endpoint]; gone && ev.At.Sub(at) > within {
					return errors.Newf("event %d: dispatched to %s %v after it was taken out", i, ev.Endpoint, ev.At.Sub(at))
				}
			}
		}
		return nil
	}
}
