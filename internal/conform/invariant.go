package conform

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
)

// OneGranter returns an error if an owner granted a permit while one of another
// owner could still be used: one-granter of spec/grant.pml.
func OneGranter(trace []Event) error {
	var last Permitted
	for i, ev := range trace {
		p, ok := ev.(Permitted)
		if !ok {
			continue
		}
		if last.Owner != p.Owner && p.At.Before(last.Expiry) {
			return errors.Newf("event %d: %s grants %v before a permit of %s expires",
				i, p.Owner, last.Expiry.Sub(p.At), last.Owner)
		}
		if last.Owner != p.Owner || p.Expiry.After(last.Expiry) {
			last = p
		}
	}
	return nil
}

// NoneExpired returns an error if a request was dispatched under an expired
// permit: none-expired of spec/grant.pml.
func NoneExpired(trace []Event) error {
	for i, ev := range trace {
		if d, ok := ev.(Dispatched); ok && !d.At.Before(d.Expiry) {
			return errors.Newf("event %d: dispatched %v after the permit's expiry", i, d.At.Sub(d.Expiry))
		}
	}
	return nil
}

// FenceKept returns an error if an order of a former owner was accepted after
// one of a later owner: fence-kept of spec/grant.pml.
func FenceKept(trace []Event) error {
	var last OrderAccepted
	for i, ev := range trace {
		o, ok := ev.(OrderAccepted)
		if !ok {
			continue
		}
		if o.Ownership < last.Ownership {
			return errors.Newf("event %d: order of %s as owner %d after one of %s as owner %d",
				i, o.Owner, o.Ownership, last.Owner, last.Ownership)
		}
		last = o
	}
	return nil
}

// NoneTo returns an invariant: no request is dispatched to an endpoint later
// than within after it was taken out.
func NoneTo(within time.Duration) func([]Event) error {
	return func(trace []Event) error {
		out := make(map[bbtfleet.EndpointID]time.Time)
		for i, ev := range trace {
			switch ev := ev.(type) {
			case TakenOut:
				out[ev.Endpoint] = ev.At
			case BroughtBack:
				delete(out, ev.Endpoint)
			case Dispatched:
				if at, gone := out[ev.Endpoint]; gone && ev.At.Sub(at) > within {
					return errors.Newf("event %d: dispatched to %s %v after it was taken out", i, ev.Endpoint, ev.At.Sub(at))
				}
			}
		}
		return nil
	}
}
