package bbtgrant

import "time"

const (
	historyStep     = 250 * time.Millisecond
	historySteps    = 64 // 16 s, beyond the age of usual load reports
	reportTolerance = 2  // steps by which a report's time may be off
	growthWindow    = 2 * time.Second
)

// history remembers how many permits were outstanding in the recent past, so
// that a load report can be told apart into own and foreign work.
type history struct {
	peak    [historySteps]int
	newest  int64 // step of the newest entry
	current int

	mean     int   // mean of the permits in growthTime
	meanStep int64 // step for which past holds
}

// note records the permits outstanding from now on.
func (h *history) note(now time.Time, n int) {
	h.advance(step(now))
	h.current = n
	entry := &h.peak[index(h.newest)]
	*entry = max(*entry, n)
}

// advance fills the steps since the newest entry.
func (h *history) advance(to int64) {
	for s := max(h.newest+1, to-historySteps+1); s <= to; s++ {
		h.peak[index(s)] = h.current
	}
	h.newest = max(h.newest, to)
}

// recentMean returns how many permits were outstanding on average in the growthTime
// before now.
func (h *history) recentMean(now time.Time) int {
	s := step(now)
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

// peakAround returns the most permits that were outstanding around the time.
func (h *history) peakAround(t time.Time) int {
	peak := 0
	for s := step(t) - reportTolerance; s <= step(t)+reportTolerance; s++ {
		switch {
		case s > h.newest:
			peak = max(peak, h.current)
		case s > h.newest-historySteps && s >= 0:
			peak = max(peak, h.peak[index(s)])
		}
	}
	return peak
}

func step(t time.Time) int64 { return t.UnixNano() / int64(historyStep) }

func index(step int64) int { return int(step % historySteps) }
