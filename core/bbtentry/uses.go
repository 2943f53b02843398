package bbtentry

import (
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtschedule"
)

// uses counts what this host's requests used of the fleet's limits, so that a
// new owner can be told.
type uses struct {
	bounds   bbtcatalog.Bounds
	accounts map[string]*bbtschedule.Meter
	services map[string]*bbtschedule.Meter // repeats
}

func newUses(b bbtcatalog.Bounds) uses {
	return uses{bounds: b, accounts: make(map[string]*bbtschedule.Meter), services: make(map[string]*bbtschedule.Meter)}
}

// count counts a dispatch.
func (u *uses) count(now time.Time, c *call) {
	r := &c.submission.Registration
	if r.Account != "" && c.attempt == 0 {
		meter(u.accounts, r.Account, u.bounds.RateWindow).Add(now, 0, r.Cost)
	}
	if c.sent > 0 {
		meter(u.services, r.Service, u.bounds.RetryWindow).Add(now, 0, 1)
	}
}

// meter returns the meter of a name among some.
func meter(meters map[string]*bbtschedule.Meter, name string, window time.Duration) *bbtschedule.Meter {
	m := meters[name]
	if m == nil {
		m = bbtschedule.NewMeter(window)
		meters[name] = m
	}
	return m
}

// takeover returns what a new owner has to know.
func (u *uses) takeover(now time.Time) bbtschedule.Takeover {
	var t bbtschedule.Takeover
	for name, m := range u.accounts {
		m.Each(now, func(ago time.Duration, n float64) {
			t.Used = append(t.Used, bbtschedule.Use{Account: name, Ago: ago, Amount: n})
		})
	}
	for name, m := range u.services {
		m.Each(now, func(ago time.Duration, n float64) {
			t.Repeats = append(t.Repeats, bbtschedule.Use{Service: name, Ago: ago, Amount: n})
		})
	}
	return t
}
