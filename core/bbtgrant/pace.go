package bbtgrant

import "time"

const (
	initialReadRate  = 8_000.0  // prompt tokens a second, before anything is learnt
	minReadRate      = 1_000.0  // prompt tokens a second
	maxReadRate      = 60_000.0 // prompt tokens a second
	readRateIncrease = 1.02
	readRateDecrease = 0.93
	targetFirstToken = 400 * time.Millisecond // from dispatch to first token
	maxBacklogTime   = 250 * time.Millisecond // prompts under way, in reading time
	gapWeight        = 0.05
	initialTokenGap  = 30 * time.Millisecond // between tokens, before anything is learnt
)

// pace is what an owner has learnt of an endpoint's speed, and the prompt
// tokens it has handed out that the endpoint has not read yet.
type pace struct {
	readRate  float64 // prompt tokens a second
	tokenGap  float64 // seconds between tokens of an answer
	backlog   float64 // prompt tokens at the time of drained
	drainedAt time.Time
}

func newPace(now time.Time) pace {
	return pace{readRate: initialReadRate, tokenGap: initialTokenGap.Seconds(), drainedAt: now}
}

// drain lets the endpoint read prompts until now.
func (p *pace) drain(now time.Time) {
	p.backlog = max(0, p.backlog-p.readRate*now.Sub(p.drainedAt).Seconds())
	p.drainedAt = now
}

// add counts prompt tokens that the endpoint is to read.
func (p *pace) add(now time.Time, tokens float64) {
	p.drain(now)
	p.backlog += tokens
}

// unread takes back prompt tokens that were not sent.
func (p *pace) unread(tokens float64) { p.backlog = max(0, p.backlog-tokens) }

// full reports whether the endpoint has enough prompts to read. Further ones
// would delay the first tokens of those and the next tokens of all others.
func (p *pace) full() bool { return p.backlog > p.readRate*maxBacklogTime.Seconds() }

// roomAt returns when the endpoint is no longer full.
func (p *pace) roomAt() time.Time {
	wait := p.backlog/p.readRate - maxBacklogTime.Seconds()
	return p.drainedAt.Add(time.Duration(max(0, wait) * float64(time.Second)))
}

// processingTime returns how long the endpoint takes for a request whose prompt and
// answer have the given tokens.
func (p *pace) processingTime(unread, output float64) time.Duration {
	seconds := (p.backlog+unread)/p.readRate + output*p.tokenGap
	return time.Duration(seconds * float64(time.Second))
}

// learn takes a finished dispatch in.
func (p *pace) learn(d DispatchEnded) {
	if d.TimeToFirstToken > targetFirstToken {
		p.readRate = max(minReadRate, p.readRate*readRateDecrease)
	} else {
		p.readRate = min(maxReadRate, p.readRate*readRateIncrease)
	}
	if d.OutputTokens > 1 {
		tokenGap := (d.Elapsed - d.TimeToFirstToken).Seconds() / float64(d.OutputTokens-1)
		p.tokenGap += gapWeight * (tokenGap - p.tokenGap)
	}
}
