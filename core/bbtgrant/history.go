package bbtgrant

import "time"

const (
	historyStep  = 250 * time.Millisecond
	historySteps = 64 // 16 s, beyond the age of usual load reports
	reportBlur   = 2  // steps by which a report's time may be off
	growthTime   = 2 * time.Second
)

// history remembers how many permits were outstanding in the recent past, so
// that a load report can be told apart into own and foreign work.
type history struct {
	most    [historySteps]int
	newest  int64 // step of the newest entry
	current int

	past   int   // mean of the permits in growthTime
	pastAt int64 // step for which past holds
}

// note records the permits outstanding from now on.
func (h *history) note(now time.Time, n int) {
	h.advance(step(now))
	h.current = n
	entry := &h.most[index(h.newest)]
	*entry = max(*entry, n)
}

// advance fills the steps since the newest entry.
func (h *history) advance(to int64) {
	for s := max(h.newest+1, to-historySteps+1); s <= to; s++ {
		h.most[index(s)] = h.current
	}
	h.newest = max(h.newest, to)
}

// before returns how many permits were outstanding on average in the growthTime
// before now.
func (h *history) before(now time.Time) int {
	s := step(now)
	h.advance(s)
	if h.pastAt == s {
		return h.past
	}
	h.past, h.pastAt = 0, s
	steps := int64(growthTime / historyStep)
	for old := max(1, s-steps); old < s; old++ {
		h.past += h.most[index(old)]
	}
	h.past = int((int64(h.past) + steps - 1) / steps)
	return h.past
}

// at returns the most permits that were outstanding around the time.
func (h *history) at(t time.Time) int {
	most := 0
	for s := step(t) - reportBlur; s <= step(t)+reportBlur; s++ {
		switch {
		case s > h.newest:
			most = max(most, h.current)
		case s > h.newest-historySteps && s >= 0:
			most = max(most, h.most[index(s)])
		}
	}
	return most
}

func step(t time.Time) int64 { return t.UnixNano() / int64(historyStep) }

func index(step int64) int { return int(step % historySteps) }
