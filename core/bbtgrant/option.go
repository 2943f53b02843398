package bbtgrant

import "time"

// Option sets an optional part of an Owner.
type Option func(*Owner)

// WithFirstPermit sets the number before that of the first permit. Processes
// that follow one another as owner must not repeat numbers; the process's
// start time in nanoseconds serves.
func WithFirstPermit(id PermitID) Option { return func(o *Owner) { o.lastPermit = id } }

// WithLease sets how long a confirmation of the view allows grants, and how
// long a former owner may still grant.
func WithLease(d time.Duration) Option { return func(o *Owner) { o.lease = d } }

// WithPermitLife sets the time between a grant and its permit's expiry.
func WithPermitLife(d time.Duration) Option { return func(o *Owner) { o.permitLife = d } }

// WithWaiting sets how many requests may wait for each pool.
func WithWaiting(n int) Option { return func(o *Owner) { o.waiting = n } }
