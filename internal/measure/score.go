package main

import (
	"fmt"
	"io"
	"math"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtverdict"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"
)

const (
	tiers       = 3
	orderGrace  = 20 * time.Millisecond // messages under way when a request was refused
	longestMS   = 600_000
	digits      = 3
	quantile    = 95
	mostCrashes = 2 // engines lost to one request
)

// requestState says what became of a request.
type requestState uint8

const (
	open requestState = iota
	answered
	failed
)

// tierScore sums up one tier; index zero sums up all.
type tierScore struct {
	offered, reachable, good, refused int
	tokens                            int // of prompts and answers, good answers that ended while requests are scored
	prefill, useful                   int // prompt tokens read; of them for good answers
	first, gap                        *hdrhistogram.Histogram
	violations                        int
}

// score sums up a run.
type score struct {
	w      *world
	tiers  [tiers + 1]tierScore
	shed   map[bbtfleet.PoolID]*[tiers + 1]time.Time // last refusal for want of room
	order  int
	cold   int
	twice  int
	crash  int
	bytes  int
	deaths int
	reason map[bbtverdict.Reason]int
}

func newScore(w *world) *score {
	s := &score{w: w, shed: make(map[bbtfleet.PoolID]*[tiers + 1]time.Time), reason: make(map[bbtverdict.Reason]int)}
	for i := range s.tiers {
		s.tiers[i].first = hdrhistogram.New(1, longestMS, digits)
		s.tiers[i].gap = hdrhistogram.New(1, longestMS*1000, digits)
	}
	s.shed[modelPool], s.shed[plainPool] = new([tiers + 1]time.Time), new([tiers + 1]time.Time)
	return s
}

// each applies f to the sums the request belongs to.
func (s *score) each(r *request, f func(*tierScore)) {
	if r.arrived.Before(s.w.scoredFrom) || r.arrived.After(s.w.scored) {
		return
	}
	f(&s.tiers[0])
	f(&s.tiers[r.class.tier])
}

func (s *score) offered(r *request) {
	s.each(r, func(t *tierScore) {
		t.offered++
		if fastest(r) <= r.class.deadline {
			t.reachable++
		}
	})
}

func (s *score) dispatched(now time.Time, r *request) {
	r.dispatches++
	if r.running > 0 || r.dispatches > 1+r.repeats+r.refusals {
		s.violate(r, &s.twice)
	}
	r.running++
	for t := bbtfleet.Tier(1); t < r.class.tier; t++ {
		last := s.shed[r.class.pool][t]
		if last.After(r.arrived) && now.After(last.Add(orderGrace)) {
			s.violate(r, &s.order)
			return
		}
	}
}

func (s *score) violate(r *request, kind *int) {
	*kind++
	s.each(r, func(t *tierScore) { t.violations++ })
}

// crashed counts the engines a request takes down; more than two are a
// violation.
func (s *score) crashed(r *request) {
	r.crashes++
	if r.crashes > mostCrashes {
		s.violate(r, &s.crash)
	}
}

// coldBreach counts a cold engine that holds more than it bears. Before an
// owner can know of it the work is not a breach.
func (s *score) coldBreach(e *engine) {
	if e.coldSilent && e.load() <= e.bears()*2 {
		return
	}
	s.cold++
	s.tiers[0].violations++
}

func (s *score) refused(now time.Time, r *request, err *bbtverdict.Error) {
	s.reason[err.Reason()]++
	if r.state != open {
		return
	}
	r.state = failed
	s.each(r, func(t *tierScore) { t.refused++ })
	switch err.Reason() {
	case bbtverdict.ReasonPoolFull, bbtverdict.ReasonEvictedByHigherTier, bbtverdict.ReasonOverloaded:
		s.shed[r.class.pool][r.class.tier] = now
	}
}

func (s *score) prefill(c *call, n int) {
	s.each(c.req, func(t *tierScore) { t.prefill += n })
}

func (s *score) late(r *request) {
	if r.state == open {
		r.state = failed
	}
}

func (s *score) firstToken(c *call, now time.Time) {
	d := now.Sub(c.req.arrived) + 2*s.w.spec.fleet.clients
	s.each(c.req, func(t *tierScore) { record(t.first, d.Milliseconds()) })
}

func (s *score) ended(c *call, o bbtgrant.Outcome, now time.Time) {
	c.req.running--
	if o == bbtgrant.Refused {
		c.req.refusals++
	}
	if o != bbtgrant.Finished {
		return
	}
	gap := now.Sub(c.first) / time.Duration(max(1, c.req.output-1))
	good := c.req.state == open && !now.After(c.req.deadline)
	s.each(c.req, func(t *tierScore) {
		record(t.gap, gap.Microseconds())
		if good {
			t.good++
			t.useful += c.read
		}
	})
	if good && now.After(s.w.scoredFrom) && now.Before(s.w.scored) {
		s.tiers[0].tokens += c.req.prompt + c.req.output
		s.tiers[c.req.class.tier].tokens += c.req.prompt + c.req.output
	}
	c.req.state = answered
}

// sent counts the bytes of a message between two hosts.
func (s *score) sent(from, to *host, m bbtgrant.Message) {
	if from == to || m == nil || s.w.now.Before(s.w.scoredFrom) || s.w.now.After(s.w.scored) {
		return
	}
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	s.bytes += len(b) + messageFrame
}

func record(h *hdrhistogram.Histogram, v int64) {
	// A value beyond the histogram's range counts as the longest.
	if h.RecordValue(v) != nil {
		_ = h.RecordValue(h.HighestTrackableValue())
	}
}

const header = "scenario\tpolicy\tseed\ttier\toffered\treachable\tgoodput\ttokens\trefused\twasted\tfirst-token-p95\tbetween-token-p95\tviolations"

// print writes a row for each tier and one for all. Times are in seconds and
// milliseconds.
func (s *score) print(w io.Writer, seed uint64) {
	for i := range s.tiers {
		t := &s.tiers[(i+1)%len(s.tiers)]
		name := fmt.Sprint((i + 1) % len(s.tiers))
		if name == "0" {
			name = "all"
		}
		wasted := 0.0
		if t.prefill > 0 {
			wasted = 1 - float64(t.useful)/float64(t.prefill)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%.4f\t%.3f\t%.1f\t%d\n",
			s.w.spec.name, s.w.policy.name, seed, name, t.offered, t.reachable, t.good, t.tokens, t.refused,
			math.Abs(wasted), float64(t.first.ValueAtQuantile(quantile))/1000, float64(t.gap.ValueAtQuantile(quantile))/1000, t.violations)
	}
}

// detail writes a comment line with what the table leaves out.
func (s *score) detail(w io.Writer) {
	length := s.w.spec.length.Seconds()
	fmt.Fprintf(w, "# order %d, cold %d, twice %d, crash %d, engines lost %d, reasons %v, control bytes a host and second %.0f\n",
		s.order, s.cold, s.twice, s.crash, s.deaths, s.reason, float64(s.bytes)/float64(len(s.w.hosts))/length)
}
