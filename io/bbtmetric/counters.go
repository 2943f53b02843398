// Package bbtmetric provides one host's counters, gauges and latency histograms.
package bbtmetric

import (
	"expvar"
	"net/http"

	"bluebelltray/core/bbtverdict"
)

// Counters holds one host's counters and gauges as expvar variables. They are
// not published in expvar's global registry, so that several hosts can run in
// one process.
type Counters struct {
	root     *expvar.Map
	refusals *expvar.Map
	retries  *expvar.Map
	gauges   *expvar.Map
}

// New returns metrics in which the counter of every refusal reason exists and is
// zero.
func New() *Counters {
	c := &Counters{
		root:     new(expvar.Map).Init(),
		refusals: new(expvar.Map).Init(),
		retries:  new(expvar.Map).Init(),
		gauges:   new(expvar.Map).Init(),
	}
	c.root.Set("refusals", c.refusals)
	c.root.Set("retries", c.retries)
	c.root.Set("gauges", c.gauges)
	for _, r := range bbtverdict.Reasons() {
		c.refusals.Add(string(r), 0)
	}
	return c
}

// Refused counts a refusal by verdict and by reason.
func (c *Counters) Refused(err *bbtverdict.Error) {
	c.refusals.Add(string(err.Reason()), 1)
	c.root.Add("verdict-"+err.Verdict().String(), 1)
}

// Retried counts a repeated dispatch by reason.
func (c *Counters) Retried(r bbtverdict.Reason) { c.retries.Add(string(r), 1) }

// Add adds n to the counter of the given kebab-case name.
func (c *Counters) Add(name string, n int64) { c.root.Add(name, n) }

// Set sets a gauge.
func (c *Counters) Set(name string, n int64) {
	v := new(expvar.Int)
	v.Set(n)
	c.gauges.Set(name, v)
}

// SetFunc sets a gauge to a function that is called whenever the metrics are
// read.
func (c *Counters) SetFunc(name string, f func() int64) {
	c.gauges.Set(name, expvar.Func(func() any { return f() }))
}

// Get returns the value of a counter, or zero if it does not exist.
func (c *Counters) Get(name string) int64 { return intValue(c.root.Get(name)) }

// Refusals returns the number of refusals with the given reason.
func (c *Counters) Refusals(r bbtverdict.Reason) int64 { return intValue(c.refusals.Get(string(r))) }

// Retries returns the number of dispatches repeated for the given reason.
func (c *Counters) Retries(r bbtverdict.Reason) int64 { return intValue(c.retries.Get(string(r))) }

// ServeHTTP writes all metrics as one JSON object.
func (c *Counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(c.root.String())) // a write fails only if the client has disconnected
}

// intValue returns the value of an integer variable, or zero if v is nil or
// of another type.
func intValue(v expvar.Var) int64 {
	switch v := v.(type) {
	case *expvar.Int:
		return v.Value()
	case expvar.Func:
		n, _ := v.Value().(int64) // SetFunc stores only functions that return int64
		return n
	default:
		return 0
	}
}
