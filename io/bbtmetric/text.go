package bbtmetric

import (
	"expvar"
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricPrefix is the prefix of all metric names in the Prometheus format.
const metricPrefix = "bluebelltray_"

// PrometheusHandler returns a handler that serves all counters, gauges and
// latency histograms in the Prometheus text format. Kebab-case names are
// converted to snake case.
func PrometheusHandler(c *Counters, l *Latencies) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(counterCollector{c}, l.histogram)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

// counterCollector is a prometheus.Collector of the metrics of a Counters.
type counterCollector struct{ counters *Counters }

// Describe sends no descriptors, since counters are created when they are first
// incremented.
func (counterCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current values of all metrics.
func (c counterCollector) Collect(metrics chan<- prometheus.Metric) {
	c.counters.root.Do(func(kv expvar.KeyValue) {
		switch v := kv.Value.(type) {
		case *expvar.Int:
			metrics <- newConstMetric(snakeCase(kv.Key)+"_total", prometheus.CounterValue, v.Value(), "", "")
		case *expvar.Map:
			c.collectMap(metrics, kv.Key, v)
		}
	})
}

// collectMap sends the entries of a map: gauges as one metric each, other maps
// as one metric with a reason label.
func (c counterCollector) collectMap(metrics chan<- prometheus.Metric, name string, m *expvar.Map) {
	m.Do(func(kv expvar.KeyValue) {
		n := intValue(kv.Value)
		if m == c.counters.gauges {
			metrics <- newConstMetric(snakeCase(kv.Key), prometheus.GaugeValue, n, "", "")
			return
		}
		metrics <- newConstMetric(snakeCase(name)+"_total", prometheus.CounterValue, n, "reason", kv.Key)
	})
}

// newConstMetric returns a metric with a constant value, and with a label unless
// label is empty.
func newConstMetric(name string, kind prometheus.ValueType, n int64, label, value string) prometheus.Metric {
	var labels, values []string
	if label != "" {
		labels, values = []string{label}, []string{value}
	}
	return prometheus.MustNewConstMetric(prometheus.NewDesc(metricPrefix+name, name, labels, nil), kind, float64(n), values...)
}

// snakeCase converts a kebab-case name to snake case.
func snakeCase(name string) string { return strings.ReplaceAll(name, "-", "_") }
