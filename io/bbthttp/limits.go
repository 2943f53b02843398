package bbthttp

import "time"

// Limits bounds what callers may send and how slowly.
type Limits struct {
	headerBytes   int
	bodyBytes     int64
	concurrent    int
	headerTimeout time.Duration
	bodyTimeout   time.Duration
	silence       time.Duration
}

// LimitOption sets one limit.
type LimitOption func(*Limits)

// WithMaxHeaderBytes sets the largest header in bytes.
func WithMaxHeaderBytes(n int) LimitOption { return func(l *Limits) { l.headerBytes = n } }

// WithMaxBodyBytes sets the largest body in bytes.
func WithMaxBodyBytes(n int64) LimitOption { return func(l *Limits) { l.bodyBytes = n } }

// WithMaxConcurrentRequests sets how many requests the host holds at once.
func WithMaxConcurrentRequests(n int) LimitOption { return func(l *Limits) { l.concurrent = n } }

// WithHeaderTimeout sets how long a caller may take to send a header.
func WithHeaderTimeout(d time.Duration) LimitOption {
	return func(l *Limits) { l.headerTimeout = d }
}

// WithBodyTimeout sets how long a caller may take to send its body.
func WithBodyTimeout(d time.Duration) LimitOption { return func(l *Limits) { l.bodyTimeout = d } }

// WithWriteTimeout sets how long a caller may take to accept one piece of its
// answer.
func WithWriteTimeout(d time.Duration) LimitOption { return func(l *Limits) { l.silence = d } }

// NewLimits returns the default limits with opts applied.
func NewLimits(opts ...LimitOption) Limits {
	l := Limits{
		headerBytes:   DefaultMaxHeaderBytes,
		bodyBytes:     DefaultMaxBodyBytes,
		concurrent:    DefaultMaxConcurrentRequests,
		headerTimeout: DefaultHeaderTimeout,
		bodyTimeout:   DefaultBodyTimeout,
		silence:       DefaultIdleTimeout,
	}
	for _, opt := range opts {
		opt(&l)
	}
	return l
}
