package bbtgrant

import "time"

// Option sets an optional part of an Owner.
type Option func(*Owner)

// WithPermitIDBase sets the number before that of the first permit. Processes
// that follow one another as owner must not repeat numbers; the process's
// start time in nanoseconds serves.
func WithPermitIDBase(id PermitID) Option { return func(o *Owner) { o.lastPermitID = id } }

// WithLease sets how long a confirmation of the view allows grants, and how
// long a former owner may still grant.
func WithLease(d time.Duration) Option { return func(o *Owner) { o.lease = d } }

// WithPermitLifetime sets the time between a grant and its permit's expiry.
func WithPermitLifetime(d time.Duration) Option { return func(o *Owner) { o.permitLifetime = d } }

// WithMaxWaiting sets how many requests may wait for each pool.
func WithMaxWaiting(n int) Option { return func(o *Owner) { o.maxWaiting = n } }
