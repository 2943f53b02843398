package bbthttp

import "time"

// Limits holds the size, concurrency and time limits for requests from callers.
type Limits struct {
	maxHeaderBytes int
	maxBodyBytes   int64
	maxConcurrent  int
	headerTimeout  time.Duration
	bodyTimeout    time.Duration
	writeTimeout   time.Duration
}

// LimitOption sets a limit.
type LimitOption func(*Limits)

// WithMaxHeaderBytes sets the maximum size of the request headers.
func WithMaxHeaderBytes(n int) LimitOption { return func(l *Limits) { l.maxHeaderBytes = n } }

// WithMaxBodyBytes sets the maximum size of the request body.
func WithMaxBodyBytes(n int64) LimitOption { return func(l *Limits) { l.maxBodyBytes = n } }

// WithMaxConcurrentRequests sets how many requests the host handles concurrently.
func WithMaxConcurrentRequests(n int) LimitOption { return func(l *Limits) { l.maxConcurrent = n } }

// WithHeaderTimeout sets how long a caller may take to send the request headers.
func WithHeaderTimeout(d time.Duration) LimitOption {
	return func(l *Limits) { l.headerTimeout = d }
}

// WithBodyTimeout sets how long a caller may take to send the request body.
func WithBodyTimeout(d time.Duration) LimitOption { return func(l *Limits) { l.bodyTimeout = d } }

// WithWriteTimeout sets the timeout of each write of a response to a caller.
func WithWriteTimeout(d time.Duration) LimitOption { return func(l *Limits) { l.writeTimeout = d } }

// NewLimits returns the default limits, modified by opts.
func NewLimits(opts ...LimitOption) Limits {
	l := Limits{
		maxHeaderBytes: DefaultMaxHeaderBytes,
		maxBodyBytes:   DefaultMaxBodyBytes,
		maxConcurrent:  DefaultMaxConcurrentRequests,
		headerTimeout:  DefaultHeaderTimeout,
		bodyTimeout:    DefaultBodyTimeout,
		writeTimeout:   DefaultIdleTimeout,
	}
	for _, opt := range opts {
		opt(&l)
	}
	return l
}
