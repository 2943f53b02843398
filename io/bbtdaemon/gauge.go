package bbtdaemon

import "time"

// updateGauges sets the gauges that are derived from the host's state.
func (d *Daemon) updateGauges(now time.Time) {
	cold, permits, waiting := 0, 0, 0
	for _, e := range d.owner.Endpoints(now) {
		permits += e.Outstanding()
		if e.Cold() {
			cold++
		}
	}
	for _, p := range d.owner.Pools() {
		waiting += p.Waiting()
	}
	d.counters.Set("endpoints-cold", int64(cold))
	d.counters.Set("permits-out", int64(permits))
	d.counters.Set("requests-waiting", int64(waiting))
	d.counters.Set("requests-in-hand", int64(d.requestCount()))
	if at := d.view.ConfirmedAt(); !at.IsZero() {
		d.counters.Set("view-age-ms", now.Sub(at).Milliseconds())
	}
}
