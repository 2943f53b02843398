package bbtgrant

import "time"

const (
	historyStep     = 250 * time.Millisecond
	historySteps    = 64              // 16 s, longer than the usual age of load reports
	reportTolerance = 2               // steps by which a load report's time may be wrong
	growthWindow    = 2 * time.Second // averaging period of recentMean
)

// history records how many permits were outstanding in the recent past. It is
// used to separate the owner's own requests from those of other owners in a
// load report, and to bound the growth of the load. Times are compared by their
// monotonic clock readings, so steps of the time of day have no effect.
type history struct {
	origin  time.Time         // start of step 0, longer than the record before the first use
	peak    [historySteps]int // highest number of permits in each step, as a ring buffer
	newest  int64             // step of the newest entry
	current int

	mean     int   // mean of the peaks in growthWindow
	meanStep int64 // step for which mean was computed
}

// record records the number of outstanding permits from now on.
func (h *history) record(now time.Time, n int) {
	h.advance(h.step(now))
	h.current = n
	entry := &h.peak[index(h.newest)]
	*entry = max(*entry, n)
}

// advance fills the steps since the newest entry with the current number.
func (h *history) advance(to int64) {
	for s := max(h.newest+1, to-historySteps+1); s <= to; s++ {
		h.peak[index(s)] = h.current
	}
	h.newest = max(h.newest, to)
}

// recentMean returns the mean of the peaks in the growthWindow before the
// current step, rounded up.
func (h *history) recentMean(now time.Time) int {
	s := h.step(now)
	h.advance(s)
	if h.meanStep == s {
		return h.mean
	}
	h.mean, h.meanStep = 0, s
	steps := int64(growthWindow / historyStep)
	for old := max(1, s-steps); old < s; old++ {
		h.mean += h.peak[index(old)]
	}
	h.mean = int((int64(h.mean) + steps - 1) / steps)
	return h.mean
}

// peakAround returns the highest number of outstanding permits within
// reportTolerance steps of t.
func (h *history) peakAround(t time.Time) int {
	peak := 0
	at := h.step(t)
	for s := at - reportTolerance; s <= at+reportTolerance; s++ {
		switch {
		case s > h.newest:
			peak = max(peak, h.current)
		case s > h.newest-historySteps && s >= 0:
			peak = max(peak, h.peak[index(s)])
		}
	}
	return peak
}

// step returns the step that contains a time; 0 for one before the origin.
func (h *history) step(t time.Time) int64 {
	if h.origin.IsZero() {
		h.origin = t.Add(-2 * historySteps * historyStep)
	}
	return int64(max(0, t.Sub(h.origin)) / historyStep)
}

func index(step int64) int { return int(step % historySteps) }
