package bbtmetric_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bluebelltray/core/bbtverdict"
	"bluebelltray/io/bbtmetric"
)

func TestPrometheusHandlerServesCountersGaugesAndLatencies(t *testing.T) {
	c, l := bbtmetric.New(), bbtmetric.NewLatencies()
	c.Add("requests", 3)
	c.Set("configuration-version", 7)
	c.SetFunc("log-lines-dropped", func() int64 { return 5 })
	c.Refused(bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonPoolFull))
	l.Observe(bbtmetric.PhaseFirstByte, "streaming", 30*time.Millisecond)
	w := httptest.NewRecorder()
	bbtmetric.PrometheusHandler(c, l).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		"\nbluebelltray_requests_total 3\n",
		"\nbluebelltray_configuration_version 7\n",
		"\nbluebelltray_log_lines_dropped 5\n",
		"\nbluebelltray_refusals_total{reason=\"no-room\"} 1\n",
		"\nbluebelltray_refusals_total{reason=\"timeout\"} 0\n",
		"bluebelltray_latency_seconds_bucket{kind=\"streaming\",phase=\"first\",le=\"0.032\"} 1",
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("got:\n%s\nwant a line %q", w.Body, strings.TrimSpace(want))
		}
	}
}
