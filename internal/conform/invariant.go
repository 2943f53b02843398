package conform

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
)

// WithinSlots returns the invariant within-slots of spec/grant.pml: the number
// of unexpired permits never exceeds the slots.
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
				return errors.Newf("event %d: grant by %s makes %d unexpired permits, want at most %d", i, p.Owner, len(usable), slots)
			}
		}
		return nil
	}
}

// NoneExpired checks the invariant none-expired of spec/grant.pml: no request is
// dispatched under an expired permit.
func NoneExpired(trace []Event) error {
	for i, ev := range trace {
		if d, ok := ev.(RequestDispatched); ok && !d.At.Before(d.Expiry) {
			return errors.Newf("event %d: dispatched %v after the permit's expiry", i, d.At.Sub(d.Expiry))
		}
	}
	return nil
}

// FenceKept checks the invariant fence-kept of spec/fence.pml: no order is accepted
// after one with a larger fencing token. Beyond the model, it checks that no order is
// accepted after one under a right that was acquired later than the order was sent.
func FenceKept(trace []Event) error {
	var last OrderAccepted
	for i, ev := range trace {
		o, ok := ev.(OrderAccepted)
		if !ok {
			continue
		}
		if o.Token < last.Token || o.SentAt.Before(last.RightSince) {
			return errors.Newf("event %d: accepted outdated order with fencing token %#x of %s after one with %#x of %s", i, o.Token, o.Owner, last.Token, last.Owner)
		}
		last = o
	}
	return nil
}

// NoDispatchAfterWithdrawal returns an invariant: no request is dispatched to an
// endpoint later than within after it was taken out of service.
func NoDispatchAfterWithdrawal(within time.Duration) func([]Event) error {
	return func(trace []Event) error {
		withdrawnAt := make(map[bbtfleet.EndpointID]time.Time)
		for i, ev := range trace {
			switch ev := ev.(type) {
			case EndpointWithdrawn:
				withdrawnAt[ev.Endpoint] = ev.At
			case EndpointRestored:
				delete(withdrawnAt, ev.Endpoint)
			case RequestDispatched:
				if at, ok := withdrawnAt[ev.Endpoint]; ok && ev.At.Sub(at) > within {
					return errors.Newf("event %d: dispatched to %s %v after it was taken out of service", i, ev.Endpoint, ev.At.Sub(at))
				}
			}
		}
		return nil
	}
}
