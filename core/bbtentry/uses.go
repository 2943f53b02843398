package bbtentry

import (
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtschedule"
)

// usage counts how much of the fleet's limits this host's requests used, so that a
// new owner can be informed.
type usage struct {
	bounds bbtcatalog.Bounds
	former meters // under former owners
	own    meters // under the present owner, which counts it as well
}

// meters are usage counts.
type meters struct {
	accounts map[string]*bbtschedule.Meter // by client account
	retries  map[string]*bbtschedule.Meter // by service
}

func newMeters() meters {
	return meters{accounts: make(map[string]*bbtschedule.Meter), retries: make(map[string]*bbtschedule.Meter)}
}

func newUsage(b bbtcatalog.Bounds) usage {
	return usage{bounds: b, former: newMeters(), own: newMeters()}
}

// count records the usage of a dispatch.
func (u *usage) count(now time.Time, c *call) {
	r := &c.submission.Registration
	if r.Account != "" && c.dispatchNumber == 0 {
		meter(u.own.accounts, r.Account, u.bounds.RateWindow).Add(now, 0, r.Cost)
	}
	if c.dispatched > 0 {
		u.countRetry(now, r.Service)
	}
}

// countRetry records a dispatch of a request that an endpoint has got before.
func (u *usage) countRetry(now time.Time, service string) {
	meter(u.own.retries, service, u.bounds.RetryWindow).Add(now, 0, 1)
}

// meter returns the meter for a name and creates it if needed.
func meter(meters map[string]*bbtschedule.Meter, name string, window time.Duration) *bbtschedule.Meter {
	m := meters[name]
	if m == nil {
		m = bbtschedule.NewMeter(window)
		meters[name] = m
	}
	return m
}

// ownerChanged records that another process is the owner.
func (u *usage) ownerChanged(now time.Time) {
	for name, m := range u.own.accounts {
		former := meter(u.former.accounts, name, u.bounds.RateWindow)
		m.ForEachNonZero(now, func(ago time.Duration, n float64) { former.Add(now, ago, n) })
	}
	for name, m := range u.own.retries {
		former := meter(u.former.retries, name, u.bounds.RetryWindow)
		m.ForEachNonZero(now, func(ago time.Duration, n float64) { former.Add(now, ago, n) })
	}
	u.own = newMeters()
}

// takeover returns the usage under former owners.
func (u *usage) takeover(now time.Time) bbtschedule.Takeover {
	var t bbtschedule.Takeover
	for name, m := range u.former.accounts {
		m.ForEachNonZero(now, func(ago time.Duration, n float64) {
			t.AccountUsage = append(t.AccountUsage, bbtschedule.Usage{Account: name, Age: ago, Amount: n})
		})
	}
	for name, m := range u.former.retries {
		m.ForEachNonZero(now, func(ago time.Duration, n float64) {
			t.Retries = append(t.Retries, bbtschedule.Usage{Service: name, Age: ago, Amount: n})
		})
	}
	return t
}
