package bbtgrant

import "time"

const (
	initialPrefillRate  = 8_000.0                // prompt tokens per second, before the first answer
	minPrefillRate      = 1_000.0                // prompt tokens per second
	maxPrefillRate      = 60_000.0               // prompt tokens per second
	prefillRateIncrease = 1.02                   // factor per answer whose first token is in time
	prefillRateDecrease = 0.93                   // factor per answer whose first token is late
	targetFirstToken    = 400 * time.Millisecond // from dispatch to first token
	maxBacklogTime      = 250 * time.Millisecond // processing time of the backlog above which an endpoint is full
	gapWeight           = 0.05                   // of a new sample in the moving average
	initialTokenGap     = 30 * time.Millisecond  // between tokens, before the first answer
)

// pace estimates an endpoint's speed and tracks the prompt tokens that were
// granted but not processed yet.
type pace struct {
	prefillRate float64 // prompt tokens processed per second
	tokenGap    float64 // mean seconds between tokens of an answer
	backlog     float64 // unprocessed prompt tokens at drainedAt
	drainedAt   time.Time
}

func newPace(now time.Time) pace {
	return pace{prefillRate: initialPrefillRate, tokenGap: initialTokenGap.Seconds(), drainedAt: now}
}

// drain reduces the backlog by the tokens processed until now.
func (p *pace) drain(now time.Time) {
	p.backlog = max(0, p.backlog-p.prefillRate*now.Sub(p.drainedAt).Seconds())
	p.drainedAt = now
}

// add adds prompt tokens to the backlog.
func (p *pace) add(now time.Time, tokens float64) {
	p.drain(now)
	p.backlog += tokens
}

// unread undoes an add: it subtracts prompt tokens from the backlog that were
// not sent to the endpoint. Elsewhere in the package, unread is the number of a
// request's prompt tokens that an endpoint has to process.
func (p *pace) unread(tokens float64) { p.backlog = max(0, p.backlog-tokens) }

// full reports whether the backlog exceeds its limit. Further prompts would
// delay the first tokens of the queued ones and the next tokens of all running
// requests.
func (p *pace) full() bool { return p.backlog > p.prefillRate*maxBacklogTime.Seconds() }

// notFullAt returns when the endpoint will no longer be full.
func (p *pace) notFullAt() time.Time {
	wait := p.backlog/p.prefillRate - maxBacklogTime.Seconds()
	return p.drainedAt.Add(time.Duration(max(0, wait) * float64(time.Second)))
}

// processingTime returns the expected time to complete a request with the given
// number of unprocessed prompt tokens and output tokens.
func (p *pace) processingTime(promptTokens, output float64) time.Duration {
	seconds := (p.backlog+promptTokens)/p.prefillRate + output*p.tokenGap
	return time.Duration(seconds * float64(time.Second))
}

// learn updates the estimates from a finished dispatch.
func (p *pace) learn(d DispatchEnded) {
	if d.TimeToFirstToken > targetFirstToken {
		p.prefillRate = max(minPrefillRate, p.prefillRate*prefillRateDecrease)
	} else {
		p.prefillRate = min(maxPrefillRate, p.prefillRate*prefillRateIncrease)
	}
	if d.OutputTokens > 1 {
		tokenGap := (d.Elapsed - d.TimeToFirstToken).Seconds() / float64(d.OutputTokens-1)
		p.tokenGap += gapWeight * (tokenGap - p.tokenGap)
	}
}
