package bbtview

import "time"

const (
	// FreshnessWindow is how long an answer proves that the view is current
	// enough to act as an owner of endpoints.
	FreshnessWindow = 5 * time.Second

	// MaxConfirmationAge is the age of the platform's last confirmation of the
	// view above which a host reads the manifest itself.
	MaxConfirmationAge = 15 * time.Second
)

// freshness records when the view was last found to be current.
type freshness struct {
	resetAt     time.Time // answers to requests sent before this are ignored
	confirmedAt time.Time // when the platform had nothing newer
	agreedAt    time.Time // when a query was sent to a peer that had nothing newer
}

// platformConfirmed records that a read sent at requestedAt found nothing newer.
func (f *freshness) platformConfirmed(requestedAt time.Time) {
	if !requestedAt.Before(f.resetAt) && requestedAt.After(f.confirmedAt) {
		f.confirmedAt = requestedAt
	}
}

// peerAgreed records that a peer queried at requestedAt had nothing newer.
func (f *freshness) peerAgreed(requestedAt time.Time) {
	if !requestedAt.Before(f.resetAt) && requestedAt.After(f.agreedAt) {
		f.agreedAt = requestedAt
	}
}

// confirmedThroughPeer records that a peer queried at requestedAt had the same
// configuration, which the platform had confirmed age milliseconds before.
func (f *freshness) confirmedThroughPeer(requestedAt time.Time, age uint32) {
	if age != AgeUnknown && !requestedAt.Before(f.resetAt) {
		f.advanceConfirmed(requestedAt.Add(-time.Duration(age) * time.Millisecond))
	}
}

// advanceConfirmed moves the time of confirmation forward to t, never back.
func (f *freshness) advanceConfirmed(t time.Time) {
	if t.After(f.confirmedAt) {
		f.confirmedAt = t
	}
}

// reset discards the answers to all requests sent before now.
func (f *freshness) reset(now time.Time) { *f = freshness{resetAt: now} }

// fresh reports whether an answer proves that the view is current at now.
func (f *freshness) fresh(now time.Time) bool {
	return within(now, f.confirmedAt, FreshnessWindow) || within(now, f.agreedAt, FreshnessWindow)
}

// age returns the time in milliseconds since the platform confirmed the view.
func (f *freshness) age(now time.Time) uint32 {
	if f.confirmedAt.IsZero() {
		return AgeUnknown
	}
	ms := now.Sub(f.confirmedAt).Milliseconds()
	if ms >= int64(AgeUnknown) {
		return AgeUnknown
	}
	return uint32(max(ms, 0))
}

// within reports whether t is set and less than d before now.
func within(now, t time.Time, d time.Duration) bool {
	return !t.IsZero() && now.Sub(t) < d
}
