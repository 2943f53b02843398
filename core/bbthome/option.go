package bbthome

import "time"

// The defaults of a Registry.
const (
	DefaultMaxLag       = 10 * time.Second
	DefaultLease        = 5 * time.Second
	DefaultResendWindow = 10 * time.Minute
	DefaultMaxDrift     = 0.001
)

// maxEpochs limits the number of views kept. A further view replaces the oldest.
const (
	maxEpochs = 64
)

// Option configures a Registry.
type Option func(*Registry)

// WithMaxLag sets the upper bound on how far a read of the host list may lag
// behind the newest revision.
func WithMaxLag(d time.Duration) Option { return func(h *Registry) { h.maxLag = d } }

// WithLease sets how long a host may issue tickets to callers that do not count
// their attempts, measured from when it requested the newest read that confirmed
// its view.
func WithLease(d time.Duration) Option { return func(h *Registry) { h.lease = d } }

// WithResendWindow sets how long a key's record is kept after its newest ticket
// was issued. Callers must not resend a key later than that.
func WithResendWindow(d time.Duration) Option { return func(h *Registry) { h.resendWindow = d } }

// WithMaxDrift sets the upper bound on the relative rate difference between the
// clocks of two hosts. 0.001 is one millisecond per second.
func WithMaxDrift(f float64) Option { return func(h *Registry) { h.maxDrift = f } }

// SettleTime returns how long a host must have been a key's home to know of
// each ticket whose key may still be resent. The previous home may have read an
// outdated host list up to the maximum lag after the change and issued a ticket
// at the end of its lease, and the caller may resend until the end of the resend
// window.
func (h *Registry) SettleTime() time.Duration { return h.addDrift(h.maxLag + h.lease + h.resendWindow) }

// addDrift extends d so that at least d passes on every host's clock, however
// fast this host's clock runs.
func (h *Registry) addDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*h.maxDrift)
}
