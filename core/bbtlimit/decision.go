package bbtlimit

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
)

// The bounds on the time a refused caller is told to wait.
const (
	minRetryAfter = CreditRequestInterval
	maxRetryAfter = time.Minute
)

// Outcome says what becomes of a request.
type Outcome uint8

// The outcomes. The zero value is the cautious one.
const (
	Refused  Outcome = iota
	Admitted         // the request's credit is spent
	Waiting          // other hosts were asked for credit
)

// String returns the outcome's name in kebab case.
func (o Outcome) String() string {
	switch o {
	case Admitted:
		return "admitted"
	case Waiting:
		return "waiting"
	default:
		return "refused"
	}
}

// Decision is the answer for one request.
type Decision struct {
	outcome    Outcome
	reason     bbtverdict.Reason
	retryAfter time.Duration
	until      time.Time
	sends      []Send
}

// Send is a message for another host. It may be lost.
type Send struct {
	To      bbtfleet.HostID
	Message Message
}

// Outcome returns what becomes of the request.
func (d Decision) Outcome() Outcome { return d.outcome }

// Until returns when a waiting request is to be decided at the latest.
func (d Decision) Until() time.Time { return d.until }

// Sends returns the messages to be sent.
func (d Decision) Sends() []Send { return d.sends }

// Err returns a *bbtverdict.Error with verdict not-run, the reason and when to
// come again, or nil if the request is not refused.
func (d Decision) Err() error {
	if d.outcome != Refused {
		return nil
	}
	return bbtverdict.New(bbtverdict.NotRun, d.reason, bbtverdict.WithRetryAfter(d.retryAfter))
}
