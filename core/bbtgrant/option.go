package bbtgrant

import "time"

// Option configures an Owner.
type Option func(*Owner)

// WithPermitIDBase sets the ID after which permit IDs start. Successive owner
// processes must not reuse permit IDs; the process's start time in nanoseconds
// is a suitable base.
func WithPermitIDBase(id PermitID) Option { return func(o *Owner) { o.lastPermitID = id } }

// WithLease sets for how long a confirmation of the view allows grants. It is
// also how long a former owner is assumed to go on granting.
func WithLease(d time.Duration) Option { return func(o *Owner) { o.lease = d } }

// WithPermitLifetime sets the time between a grant and its permit's expiry.
func WithPermitLifetime(d time.Duration) Option { return func(o *Owner) { o.permitLifetime = d } }

// WithMaxWaiting sets the maximum number of waiting requests for each pool.
func WithMaxWaiting(n int) Option { return func(o *Owner) { o.maxWaiting = n } }
