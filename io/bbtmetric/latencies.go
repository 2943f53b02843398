package bbtmetric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Phase is a part of a request's time.
type Phase string

// The phases of a request.
const (
	PhaseWait  Phase = "wait"  // from its arrival to its dispatch
	PhaseFirstByte Phase = "first" // from its arrival to the first bytes of its answer
	PhaseTotal Phase = "whole" // from its arrival to the end of its answer
)

// latencyBuckets are the upper ends of the histograms' buckets in seconds: a
// millisecond, doubled to half a minute.
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 16)

// Latencies is one host's histograms of how long requests take.
type Latencies struct{ histogram *prometheus.HistogramVec }

// NewLatencies returns empty histograms.
func NewLatencies() *Latencies {
	return &Latencies{prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    textPrefix + "latency_seconds",
		Help:    "Time of requests by phase and kind of route.",
		Buckets: latencyBuckets,
	}, []string{"phase", "kind"})}
}

// Observe counts a time of a request on a kind of route.
func (l *Latencies) Observe(p Phase, kind string, d time.Duration) {
	l.histogram.WithLabelValues(string(p), kind).Observe(d.Seconds())
}
