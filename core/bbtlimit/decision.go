package bbtlimit

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
)

// The range of the retry delay returned to refused callers.
const (
	minRetryAfter = CreditRequestInterval
	maxRetryAfter = time.Minute
)

// Outcome is the result of deciding a request.
type Outcome uint8

// The outcomes. The zero value admits nothing.
const (
	Refused  Outcome = iota
	Admitted         // the request's credit is spent
	Waiting          // the request waits for credit from other hosts
)

// String returns the kebab-case name of the outcome.
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

// Decision is the result for one request, with the messages to send for it.
type Decision struct {
	outcome    Outcome
	reason     bbtverdict.Reason
	retryAfter time.Duration
	until      time.Time
	sends      []Send
}

// Send is a message to another host. It need not be delivered reliably.
type Send struct {
	To      bbtfleet.HostID
	Message Message
}

// Outcome returns the outcome for the request.
func (d Decision) Outcome() Outcome { return d.outcome }

// Until returns when a waiting request must be decided again at the latest.
func (d Decision) Until() time.Time { return d.until }

// Sends returns the messages to send.
func (d Decision) Sends() []Send { return d.sends }

// Err returns a *bbtverdict.Error with verdict not-run, the reason and the
// retry delay, or nil if the request is not refused.
func (d Decision) Err() error {
	if d.outcome != Refused {
		return nil
	}
	return bbtverdict.New(bbtverdict.NotRun, d.reason, bbtverdict.WithRetryAfter(d.retryAfter))
}
