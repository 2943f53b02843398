package bbtmetric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Phase is an interval of a request's lifetime.
type Phase string

// The phases of a request, all measured from its arrival.
const (
	PhaseWait      Phase = "wait"  // until its dispatch
	PhaseFirstByte Phase = "first" // until the first bytes of its response
	PhaseTotal     Phase = "whole" // until the end of its response
)

// latencyBuckets are the upper bounds of the histogram buckets in seconds, from
// 1 ms to 32.768 s in powers of two.
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 16)

// Latencies holds one host's histograms of request latencies.
type Latencies struct{ histogram *prometheus.HistogramVec }

// NewLatencies returns histograms without observations.
func NewLatencies() *Latencies {
	return &Latencies{prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    metricPrefix + "latency_seconds",
		Help:    "Time of requests by phase and kind of route.",
		Buckets: latencyBuckets,
	}, []string{"phase", "kind"})}
}

// Observe records the duration of a phase of a request on a kind of route.
func (l *Latencies) Observe(phase Phase, kind string, d time.Duration) {
	l.histogram.WithLabelValues(string(phase), kind).Observe(d.Seconds())
}
