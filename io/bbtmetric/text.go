package bbtmetric

import (
	"expvar"
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// textPrefix begins the name of every metric in the text form.
const textPrefix = "bluebelltray_"

// PrometheusHandler returns a page with all counters, gauges and latencies in the text form
// that monitoring systems read. Kebab-case names become snake case there.
func PrometheusHandler(c *Counters, l *Latencies) http.Handler {
	reg := prometheus.NewRegistry()
	reg.MustRegister(textCollector{c}, l.histogram)
	return promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
}

// textCollector shows counters that are kept elsewhere.
type textCollector struct{ counters *Counters }

// Describe describes nothing, since counters appear as they are first counted.
func (textCollector) Describe(chan<- *prometheus.Desc) {}

// Collect shows the counters as they stand.
func (t textCollector) Collect(out chan<- prometheus.Metric) {
	t.counters.all.Do(func(kv expvar.KeyValue) {
		switch v := kv.Value.(type) {
		case *expvar.Int:
			out <- constant(snake(kv.Key)+"_total", prometheus.CounterValue, v.Value(), "", "")
		case *expvar.Map:
			t.family(out, kv.Key, v)
		}
	})
}

// family shows the entries of a map: gauges by their names, other maps as one
// metric with a label.
func (t textCollector) family(out chan<- prometheus.Metric, name string, m *expvar.Map) {
	m.Do(func(kv expvar.KeyValue) {
		n := intOf(kv.Value)
		if m == t.counters.gauges {
			out <- constant(snake(kv.Key), prometheus.GaugeValue, n, "", "")
			return
		}
		out <- constant(snake(name)+"_total", prometheus.CounterValue, n, "reason", kv.Key)
	})
}

// constant returns one value of a metric, with a label if that has a name.
func constant(name string, kind prometheus.ValueType, n int64, label, value string) prometheus.Metric {
	var labels, values []string
	if label != "" {
		labels, values = []string{label}, []string{value}
	}
	return prometheus.MustNewConstMetric(prometheus.NewDesc(textPrefix+name, name, labels, nil), kind, float64(n), values...)
}

// snake returns a kebab-case name in snake case.
func snake(name string) string { return strings.ReplaceAll(name, "-", "_") }
