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
	tiers                = 3
	orderGrace           = 20 * time.Millisecond // allowance for messages in transit when a request was refused
	maxRecordedMS        = 600_000
	significantDigits    = 3
	percentile           = 95
	maxCrashesPerRequest = 2 // engines that one request may crash
)

// requestState is the final state of a request, or open while it has none.
type requestState uint8

const (
	open requestState = iota
	answered
	failed
)

// tierScore holds the totals of one tier, or of all tiers at index zero. A request is
// reachable if an idle, warm endpoint can finish it by its deadline, and good if it was
// finished by then.
type tierScore struct {
	offered, reachable, good, refused int
	tokens                            int // prompt and output tokens of good answers completed during scoring
	prefill, useful                   int // prompt tokens processed; of these, for good answers
	firstTokenMS, tokenGapUS          *hdrhistogram.Histogram
	violations                        int
}

// score collects the results of a run.
type score struct {
	w                   *world
	tiers               [tiers + 1]tierScore
	lastShed            map[bbtfleet.PoolID]*[tiers + 1]time.Time // time of the last refusal for lack of capacity, by tier
	orderViolations     int
	coldViolations      int
	duplicateDispatches int
	crashViolations     int
	controlBytes        int
	engineCrashes       int
	refusalReasons      map[bbtverdict.Reason]int
}

func newScore(w *world) *score {
	s := &score{w: w, lastShed: make(map[bbtfleet.PoolID]*[tiers + 1]time.Time), refusalReasons: make(map[bbtverdict.Reason]int)}
	for i := range s.tiers {
		s.tiers[i].firstTokenMS = hdrhistogram.New(1, maxRecordedMS, significantDigits)
		s.tiers[i].tokenGapUS = hdrhistogram.New(1, maxRecordedMS*1000, significantDigits)
	}
	s.lastShed[modelPool], s.lastShed[plainPool] = new([tiers + 1]time.Time), new([tiers + 1]time.Time)
	return s
}

// updateTotals applies f to the totals that the request counts toward.
func (s *score) updateTotals(r *request, f func(*tierScore)) {
	if r.arrived.Before(s.w.scoredFrom) || r.arrived.After(s.w.scoredUntil) {
		return
	}
	f(&s.tiers[0])
	f(&s.tiers[r.class.tier])
}

func (s *score) offered(r *request) {
	s.updateTotals(r, func(t *tierScore) {
		t.offered++
		if minServiceTime(r) <= r.class.deadline {
			t.reachable++
		}
	})
}

// dispatched counts a dispatch. It is a violation if an earlier dispatch of the
// request is outstanding, if no repeat is left, or if a request of a higher tier was
// refused for lack of capacity while this one waited.
func (s *score) dispatched(now time.Time, r *request) {
	r.dispatches++
	if r.outstanding > 0 || r.dispatches > 1+r.maxRepeats+r.refusals {
		s.addViolation(r, &s.duplicateDispatches)
	}
	r.outstanding++
	for t := bbtfleet.Tier(1); t < r.class.tier; t++ {
		last := s.lastShed[r.class.pool][t]
		if last.After(r.arrived) && now.After(last.Add(orderGrace)) {
			s.addViolation(r, &s.orderViolations)
			return
		}
	}
}

func (s *score) addViolation(r *request, counter *int) {
	*counter++
	s.updateTotals(r, func(t *tierScore) { t.violations++ })
}

// crashed counts the engines that a request crashes; more than
// maxCrashesPerRequest is a violation.
func (s *score) crashed(r *request) {
	r.crashes++
	if r.crashes > maxCrashesPerRequest {
		s.addViolation(r, &s.crashViolations)
	}
}

// coldOverload counts an overload of a cold engine. Load up to twice the capacity of
// an engine that became cold unannounced is no violation, as its owner cannot know of
// the cold start yet.
func (s *score) coldOverload(e *engine) {
	if e.coldUnannounced && e.load() <= e.capacity()*2 {
		return
	}
	s.coldViolations++
	s.tiers[0].violations++
}

func (s *score) refused(now time.Time, r *request, err *bbtverdict.Error) {
	s.refusalReasons[err.Reason()]++
	if r.state != open {
		return
	}
	r.state = failed
	s.updateTotals(r, func(t *tierScore) { t.refused++ })
	switch err.Reason() {
	case bbtverdict.ReasonPoolFull, bbtverdict.ReasonEvictedByHigherTier, bbtverdict.ReasonOverloaded:
		s.lastShed[r.class.pool][r.class.tier] = now
	}
}

func (s *score) prefill(c *call, n int) {
	s.updateTotals(c.req, func(t *tierScore) { t.prefill += n })
}

func (s *score) deadlineExpired(r *request) {
	if r.state == open {
		r.state = failed
	}
}

func (s *score) firstToken(c *call, now time.Time) {
	d := now.Sub(c.req.arrived) + 2*s.w.spec.fleet.callerLatency
	s.updateTotals(c.req, func(t *tierScore) { record(t.firstTokenMS, d.Milliseconds()) })
}

func (s *score) callEnded(c *call, o bbtgrant.Outcome, now time.Time) {
	c.req.outstanding--
	if o == bbtgrant.Refused {
		c.req.refusals++
	}
	if o != bbtgrant.Finished {
		return
	}
	gap := now.Sub(c.firstTokenAt) / time.Duration(max(1, c.req.output-1))
	good := c.req.state == open && !now.After(c.req.deadline)
	s.updateTotals(c.req, func(t *tierScore) {
		record(t.tokenGapUS, gap.Microseconds())
		if good {
			t.good++
			t.useful += c.promptProcessed
		}
	})
	if good && now.After(s.w.scoredFrom) && now.Before(s.w.scoredUntil) {
		s.tiers[0].tokens += c.req.prompt + c.req.output
		s.tiers[c.req.class.tier].tokens += c.req.prompt + c.req.output
	}
	c.req.state = answered
}

// sent counts the bytes of a message between two hosts during scoring.
func (s *score) sent(from, to *host, m bbtgrant.Message) {
	if from == to || m == nil || s.w.now.Before(s.w.scoredFrom) || s.w.now.After(s.w.scoredUntil) {
		return
	}
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	s.controlBytes += len(b) + frameOverhead
}

func record(h *hdrhistogram.Histogram, v int64) {
	// A value beyond the histogram's range counts as the highest trackable one.
	if h.RecordValue(v) != nil {
		_ = h.RecordValue(h.HighestTrackableValue())
	}
}

const header = "scenario\tpolicy\tseed\ttier\toffered\treachable\tgoodput\ttokens\trefused\twasted\tfirst-token-p95\tbetween-token-p95\tviolations"

// print writes a row for each tier and one for all tiers. The first-token
// percentile is in seconds, the between-token percentile in milliseconds.
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
			math.Abs(wasted), float64(t.firstTokenMS.ValueAtQuantile(percentile))/1000, float64(t.tokenGapUS.ValueAtQuantile(percentile))/1000, t.violations)
	}
}

// detail writes a comment line with figures that the table omits.
func (s *score) detail(w io.Writer) {
	length := s.w.spec.length.Seconds()
	fmt.Fprintf(w, "# violations: order %d, cold start %d, duplicate dispatch %d, crash %d; engine crashes %d, refusal reasons %v, control bytes per host per second %.0f\n",
		s.orderViolations, s.coldViolations, s.duplicateDispatches, s.crashViolations, s.engineCrashes, s.refusalReasons, float64(s.controlBytes)/float64(len(s.w.hosts))/length)
}
