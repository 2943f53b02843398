// Package bbtmetric holds one host's counters and gauges as expvar variables.
package bbtmetric

import (
	"expvar"
	"net/http"

	"bluebelltray/core/bbtverdict"
)

// Counters is one host's set of metrics. It is not published in expvar's
// global table, so that several hosts can run in one process.
type Counters struct {
	all      *expvar.Map
	refusals *expvar.Map
	retries  *expvar.Map
	gauges   *expvar.Map
}

// New returns a set in which every refusal reason already stands at zero.
func New() *Counters {
	c := &Counters{
		all:      new(expvar.Map).Init(),
		refusals: new(expvar.Map).Init(),
		retries:  new(expvar.Map).Init(),
		gauges:   new(expvar.Map).Init(),
	}
	c.all.Set("refusals", c.refusals)
	c.all.Set("retries", c.retries)
	c.all.Set("gauges", c.gauges)
	for _, r := range bbtverdict.Reasons() {
		c.refusals.Add(string(r), 0)
	}
	return c
}

// Refused counts a refusal under its verdict and its reason.
func (c *Counters) Refused(err *bbtverdict.Error) {
	c.refusals.Add(string(err.Reason()), 1)
	c.all.Add("verdict-"+err.Verdict().String(), 1)
}

// Retried counts a repeated dispatch under its reason.
func (c *Counters) Retried(r bbtverdict.Reason) { c.retries.Add(string(r), 1) }

// Add counts n events of the given name, in kebab case.
func (c *Counters) Add(name string, n int64) { c.all.Add(name, n) }

// Set sets a gauge.
func (c *Counters) Set(name string, n int64) {
	v := new(expvar.Int)
	v.Set(n)
	c.gauges.Set(name, v)
}

// SetFunc makes a gauge of what f returns whenever the metrics are read.
func (c *Counters) SetFunc(name string, f func() int64) {
	c.gauges.Set(name, expvar.Func(func() any { return f() }))
}

// Get returns the count of the given name.
func (c *Counters) Get(name string) int64 { return intOf(c.all.Get(name)) }

// Refusals returns the count of the given reason.
func (c *Counters) Refusals(r bbtverdict.Reason) int64 { return intOf(c.refusals.Get(string(r))) }

// Retries returns how many dispatches were repeated for the given reason.
func (c *Counters) Retries(r bbtverdict.Reason) int64 { return intOf(c.retries.Get(string(r))) }

// ServeHTTP answers with all metrics as one JSON object.
func (c *Counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(c.all.String())) // a reader that has gone needs no answer
}

// intOf returns the value of an integer variable, or zero.
func intOf(v expvar.Var) int64 {
	switch v := v.(type) {
	case *expvar.Int:
		return v.Value()
	case expvar.Func:
		n, _ := v.Value().(int64) // gauges that are watched are such numbers
		return n
	default:
		return 0
	}
}
