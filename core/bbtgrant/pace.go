package bbtgrant

import "time"

const (
	firstPace  = 8_000.0  // prompt tokens a second, before anything is learnt
	slowest    = 1_000.0  // prompt tokens a second
	fastest    = 60_000.0 // prompt tokens a second
	paceRise   = 1.02
	paceFall   = 0.93
	firstGoal  = 400 * time.Millisecond // from dispatch to first token
	paceWindow = 250 * time.Millisecond // prompts under way, in reading time
	gapWeight  = 0.05
	firstGap   = 30 * time.Millisecond // between tokens, before anything is learnt
)

// pace is what an owner has learnt of an endpoint's speed, and the prompt
// tokens it has handed out that the endpoint has not read yet.
type pace struct {
	read    float64 // prompt tokens a second
	gap     float64 // seconds between tokens of an answer
	backlog float64 // prompt tokens at the time of drained
	drained time.Time
}

func newPace(now time.Time) pace {
	return pace{read: firstPace, gap: firstGap.Seconds(), drained: now}
}

// drain lets the endpoint read prompts until now.
func (p *pace) drain(now time.Time) {
	p.backlog = max(0, p.backlog-p.read*now.Sub(p.drained).Seconds())
	p.drained = now
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
func (p *pace) full() bool { return p.backlog > p.read*paceWindow.Seconds() }

// roomAt returns when the endpoint is no longer full.
func (p *pace) roomAt() time.Time {
	wait := p.backlog/p.read - paceWindow.Seconds()
	return p.drained.Add(time.Duration(max(0, wait) * float64(time.Second)))
}

// needs returns how long the endpoint takes for a request whose prompt and
// answer have the given tokens.
func (p *pace) needs(unread, output float64) time.Duration {
	seconds := (p.backlog+unread)/p.read + output*p.gap
	return time.Duration(seconds * float64(time.Second))
}

// learn takes a finished dispatch in.
func (p *pace) learn(d DispatchEnd) {
	if d.TimeToFirstToken > firstGoal {
		p.read = max(slowest, p.read*paceFall)
	} else {
		p.read = min(fastest, p.read*paceRise)
	}
	if d.OutputTokens > 1 {
		gap := (d.Elapsed - d.TimeToFirstToken).Seconds() / float64(d.OutputTokens-1)
		p.gap += gapWeight * (gap - p.gap)
	}
}
