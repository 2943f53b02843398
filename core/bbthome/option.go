package bbthome

import "time"

// The defaults of a Home.
const (
	DefaultMaxLag    = 10 * time.Second
	DefaultLease  = 5 * time.Second
	DefaultResendWindow = 10 * time.Minute
	DefaultMaxDrift  = 0.001
)

// Bounds of a Home.
const (
	maxEpochs = 64
)

// Option sets an optional part of a Home.
type Option func(*Home)

// WithMaxLag sets the longest time by which a read of the host list may lag
// behind its newest revision.
func WithMaxLag(d time.Duration) Option { return func(h *Home) { h.lag = d } }

// WithLease sets how long after the read that confirmed its view a host may
// issue a ticket to a caller that does not count its attempts.
func WithLease(d time.Duration) Option { return func(h *Home) { h.lease = d } }

// WithResendWindow sets how long a key is remembered after its newest ticket.
// Callers must not resend a key later than that.
func WithResendWindow(d time.Duration) Option { return func(h *Home) { h.window = d } }

// WithMaxDrift sets the bound on the relative rate of two hosts' clocks.
func WithMaxDrift(f float64) Option { return func(h *Home) { h.drift = f } }

// SettleTime returns the time after which a new home knows of each ticket whose
// key may still be resent: the former home may have read the list as late as
// the lag allows, issued a ticket at the end of its lease, and the caller may
// resend until the end of the window.
func (h *Home) SettleTime() time.Duration { return h.stretch(h.lag + h.lease + h.window) }

// stretch lengthens d so that it lasts at least d on any host's clock.
func (h *Home) stretch(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*h.drift)
}
