package bbtroute

import "time"

// Option sets an optional part of an Entry.
type Option func(*Entry)

// WithWidth sets with how many owners a request waits at once.
func WithWidth(d int) Option { return func(e *Entry) { e.width = d } }

// WithHedge sets how long the first owner may take to answer before the
// request is registered with the others too.
func WithHedge(d time.Duration) Option { return func(e *Entry) { e.hedge = d } }
