package bbtroute

import "time"

// Option configures an Entry.
type Option func(*Entry)

// WithOwnersPerRequest sets with how many owners a request is registered once it
// has waited for the hedge delay.
func WithOwnersPerRequest(n int) Option { return func(e *Entry) { e.maxOwners = n } }

// WithHedgeDelay sets how long a request waits for the first owner before it is
// registered with the others too.
func WithHedgeDelay(d time.Duration) Option { return func(e *Entry) { e.hedgeDelay = d } }
