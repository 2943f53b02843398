package bbtledger

import "time"

// The defaults of a ledger.
const (
	DefaultLifetime       = 2 * time.Minute
	DefaultRetention      = 10 * time.Minute
	DefaultEntries        = 32768
	DefaultAccountEntries = 8192
	DefaultResponseBytes    = 16 << 20
)

// Option sets an optional part of a Ledger.
type Option func(*Ledger)

// WithLifetime sets the time from a ticket's issue to its expiry.
func WithLifetime(d time.Duration) Option { return func(l *Ledger) { l.lifetime = d } }

// WithRetention sets how long after its expiry a ticket's outcome is held.
func WithRetention(d time.Duration) Option { return func(l *Ledger) { l.retention = d } }

// WithEntries bounds the tickets held at once.
func WithEntries(n int) Option { return func(l *Ledger) { l.maxEntries = n } }

// WithAccountEntries bounds the tickets held at once for one client account.
func WithAccountEntries(n int) Option { return func(l *Ledger) { l.maxAccount = n } }

// WithResponseBytes bounds the bytes held for finished answers.
func WithResponseBytes(n int) Option { return func(l *Ledger) { l.maxBytes = n } }
