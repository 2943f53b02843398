package bbtview

import "time"

const (
	// FreshnessWindow is how long an answer proves the view to be current enough to
	// grant on.
	FreshnessWindow = 5 * time.Second

	// MaxConfirmationAge is how old the platform's confirmation of the view may grow
	// before a host reads for itself.
	MaxConfirmationAge = 15 * time.Second
)

// freshness holds when the view was last found to be current.
type freshness struct {
	since     time.Time // questions sent before count for nothing
	confirmed time.Time // when the platform held nothing newer
	agreed    time.Time // when a peer that answered knew nothing newer
}

// platform records that a read sent at asked found nothing newer.
func (f *freshness) platform(asked time.Time) {
	if !asked.Before(f.since) && asked.After(f.confirmed) {
		f.confirmed = asked
	}
}

// peer records that a peer asked at the given time knew nothing newer.
func (f *freshness) peer(asked time.Time) {
	if !asked.Before(f.since) && asked.After(f.agreed) {
		f.agreed = asked
	}
}

// through records that a peer asked at the given time had the same view and the
// platform's confirmation of that age in milliseconds.
func (f *freshness) through(asked time.Time, age uint32) {
	if age != AgeUnknown && !asked.Before(f.since) {
		f.latest(asked.Add(-time.Duration(age) * time.Millisecond))
	}
}

// latest moves the time of confirmation forward to t.
func (f *freshness) latest(t time.Time) {
	if t.After(f.confirmed) {
		f.confirmed = t
	}
}

// reset forgets all answers to questions sent before now.
func (f *freshness) reset(now time.Time) { *f = freshness{since: now} }

// fresh reports whether an answer proves the view current at now.
func (f *freshness) fresh(now time.Time) bool {
	return within(now, f.confirmed, FreshnessWindow) || within(now, f.agreed, FreshnessWindow)
}

// age returns the age of the platform's confirmation in milliseconds.
func (f *freshness) age(now time.Time) uint32 {
	if f.confirmed.IsZero() {
		return AgeUnknown
	}
	ms := now.Sub(f.confirmed).Milliseconds()
	if ms >= int64(AgeUnknown) {
		return AgeUnknown
	}
	return uint32(max(ms, 0))
}

// within reports whether t lies less than d before now.
func within(now, t time.Time, d time.Duration) bool {
	return !t.IsZero() && now.Sub(t) < d
}
