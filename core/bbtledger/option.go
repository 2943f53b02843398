package bbtledger

import "time"

// The defaults of a ledger.
const (
	DefaultLifetime       = 2 * time.Minute
	DefaultRetention      = 10 * time.Minute
	DefaultEntries        = 32768
	DefaultAccountEntries = 8192
	DefaultResponseBytes  = 16 << 20
)

// Option configures a Ledger.
type Option func(*Ledger)

// WithLifetime sets the time from a ticket's issue to its expiry.
func WithLifetime(d time.Duration) Option { return func(l *Ledger) { l.lifetime = d } }

// WithRetention sets how long a ticket's state is held after its expiry.
func WithRetention(d time.Duration) Option { return func(l *Ledger) { l.retention = d } }

// WithEntries limits the number of tickets held at once.
func WithEntries(n int) Option { return func(l *Ledger) { l.maxEntries = n } }

// WithAccountEntries limits the number of tickets held at once for one client
// account.
func WithAccountEntries(n int) Option { return func(l *Ledger) { l.maxAccountEntries = n } }

// WithResponseBytes limits the total size of the responses held.
func WithResponseBytes(n int) Option { return func(l *Ledger) { l.maxResponseBytes = n } }
