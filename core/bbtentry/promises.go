package bbtentry

import (
	"time"

	"bluebelltray/core/bbtpromise"
	"bluebelltray/core/bbtschedule"
)

const (
	// maxPromises bounds the promises that a host remembers. The oldest are forgotten
	// first.
	maxPromises = 512
	// promiseRetention is for how long after its time a promise is told to a new owner.
	promiseRetention = 2 * time.Second
)

// promises holds when the callers of this host were asked to return, for the next
// owner. The zero value is empty.
type promises struct{ list []promise }

// promise is what a caller was told at a time.
type promise struct {
	service string
	at      time.Time
	promise bbtpromise.Promise // After is not used
}

// record records a promise of the owner.
func (l *promises) record(now time.Time, service string, p bbtpromise.Promise) {
	if p.Fingerprint == 0 {
		return
	}
	if len(l.list) == maxPromises {
		l.list = append(l.list[:0], l.list[maxPromises/4:]...)
	}
	l.list = append(l.list, promise{service, now.Add(p.After), p})
}

// takeover returns the promises for a new owner.
func (l *promises) takeover(now time.Time) []bbtschedule.ServicePromise {
	var out []bbtschedule.ServicePromise
	kept := l.list[:0]
	for _, p := range l.list {
		if now.Sub(p.at) > promiseRetention {
			continue
		}
		kept = append(kept, p)
		m := p.promise
		m.After = p.at.Sub(now)
		out = append(out, bbtschedule.ServicePromise{Service: p.service, Promise: m})
	}
	l.list = kept
	return out
}
