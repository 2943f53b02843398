package bbtroute

// Option sets an optional part of an Entry.
type Option func(*Entry)

// WithWidth sets with how many owners a request is registered at once.
func WithWidth(d int) Option { return func(e *Entry) { e.width = d } }
