package bbtroute

import "time"

// Option sets an optional part of an Entry.
type Option func(*Entry)

// WithOwnersPerRequest sets with how many owners a request waits at once.
func WithOwnersPerRequest(d int) Option { return func(e *Entry) { e.maxOwners = d } }

// WithHedgeDelay sets how long the first owner may take to answer before the
// request is registered with the others too.
func WithHedgeDelay(d time.Duration) Option { return func(e *Entry) { e.hedgeDelay = d } }
