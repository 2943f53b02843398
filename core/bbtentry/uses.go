package bbtentry

import (
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtschedule"
)

// usage counts how much of the fleet's limits this host's requests used, so that a
// new owner can be informed.
type usage struct {
	bounds   bbtcatalog.Bounds
	accounts map[string]*bbtschedule.Meter // by client account
	retries  map[string]*bbtschedule.Meter // by service
}

func newUsage(b bbtcatalog.Bounds) usage {
	return usage{bounds: b, accounts: make(map[string]*bbtschedule.Meter), retries: make(map[string]*bbtschedule.Meter)}
}

// count records the usage of a dispatch.
func (u *usage) count(now time.Time, c *call) {
	r := &c.submission.Registration
	if r.Account != "" && c.dispatchNumber == 0 {
		meter(u.accounts, r.Account, u.bounds.RateWindow).Add(now, 0, r.Cost)
	}
	if c.dispatched > 0 {
		meter(u.retries, r.Service, u.bounds.RetryWindow).Add(now, 0, 1)
	}
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

// takeover returns the recorded usage for a new owner.
func (u *usage) takeover(now time.Time) bbtschedule.Takeover {
	var t bbtschedule.Takeover
	for name, m := range u.accounts {
		m.ForEachNonZero(now, func(ago time.Duration, n float64) {
			t.AccountUsage = append(t.AccountUsage, bbtschedule.Usage{Account: name, Age: ago, Amount: n})
		})
	}
	for name, m := range u.retries {
		m.ForEachNonZero(now, func(ago time.Duration, n float64) {
			t.Retries = append(t.Retries, bbtschedule.Usage{Service: name, Age: ago, Amount: n})
		})
	}
	return t
}
