package bbtschedule

import (
	"cmp"
	"container/heap"
	"iter"
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// line holds queued requests in order of arrival.
type line []*waiter

// compareWaiters orders requests by their accounts' shares, if these are divided,
// then by arrival.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.sequence, b.sequence))
}

// index returns the position of a request that the line contains.
func (l line) index(w *waiter) int {
	i, _ := slices.BinarySearchFunc(l, w, compareWaiters)
	return i
}

func (l *line) insert(w *waiter) {
	if n := len(*l); n == 0 || compareWaiters((*l)[n-1], w) < 0 {
		*l = append(*l, w)
		return
	}
	*l = slices.Insert(*l, l.index(w), w)
}

func (l *line) remove(w *waiter) {
	i := l.index(w)
	*l = slices.Delete(*l, i, i+1)
}

// lineClass tells the lines of a rank apart.
type lineClass int

// The lines of a rank, in the order in which they are served. A returning caller is
// served with the late requests but before them, since it has waited already. One
// that returns at the time for which room was booked goes first. Requests whose first
// event takes much of their latency objective go before those that can wait longer.
const (
	promisedLine lineClass = iota
	tightLine
	timelyLine
	returningLine
	lateLine
	lineClasses
)

// rankLines holds the queued requests of one rank.
type rankLines struct {
	rank  int
	lines [lineClasses]line
	work  [lineClasses]time.Duration // of the requests of each line, in a slot
}

// insert adds a request to the line of its class.
func (r *rankLines) insert(w *waiter) {
	c := w.class()
	r.lines[c].insert(w)
	r.work[c] += w.work
}

// remove removes a request.
func (r *rankLines) remove(w *waiter) {
	c := w.class()
	r.lines[c].remove(w)
	r.work[c] -= w.work
}

// queue holds the requests that wait for an endpoint of a service. Timely
// requests go before late ones; among either, lower ranks go first, then
// returning callers, then earlier arrivals. If tiersFirst is set, all requests of a
// rank go before those of the next one. Adding, removing and finding the position of
// a request take time that hardly depends on the length of the queue.
type queue struct {
	tiersFirst bool
	ranks      []*rankLines // sorted by rank
	byKey      map[key]*waiter
	lateness   waiterHeap // timely requests by the time at which they become late
	expiry     waiterHeap // all requests by the end of their longest wait
	sequence   uint64     // of the latest request
}

func newQueue() queue {
	return queue{
		byKey:    make(map[key]*waiter),
		lateness: waiterHeap{at: func(w *waiter) time.Time { return w.lateAt }},
		expiry:   waiterHeap{at: func(w *waiter) time.Time { return w.expiresAt }},
	}
}

// Len returns the number of queued requests.
func (q *queue) Len() int { return len(q.byKey) }

// linesOf returns the lines of a rank. It adds them if there are none.
func (q *queue) linesOf(rank int) *rankLines {
	i, ok := slices.BinarySearchFunc(q.ranks, rank, func(r *rankLines, n int) int { return cmp.Compare(r.rank, n) })
	if !ok {
		q.ranks = slices.Insert(q.ranks, i, &rankLines{rank: rank})
	}
	return q.ranks[i]
}

// forEachLine calls f for the lines in the order in which they are served, until f
// returns false. Late requests of the top rank, which holds short ones of all tiers,
// go last.
func (q *queue) forEachLine(f func(*rankLines, lineClass) bool) {
	through := func(r *rankLines, from, to lineClass) bool {
		for c := from; c <= to; c++ {
			if !f(r, c) {
				return false
			}
		}
		return true
	}
	whole := func(r *rankLines) bool { return q.tiersFirst && r.rank != topRank }
	for _, r := range q.ranks {
		last := timelyLine
		if whole(r) {
			last = lateLine
		}
		if !through(r, promisedLine, last) {
			return
		}
	}
	for _, r := range q.ranks {
		if !whole(r) && !through(r, returningLine, lateLine) {
			return
		}
	}
}

// lines returns the lines in the order in which they are served.
func (q *queue) lines() iter.Seq[*line] {
	return func(yield func(*line) bool) {
		q.forEachLine(func(r *rankLines, c lineClass) bool { return yield(&r.lines[c]) })
	}
}

// add adds a request, whose ttft and rank are set.
func (q *queue) add(now time.Time, w *waiter) {
	q.sequence++
	w.sequence = q.sequence
	w.lateAt, w.expiresAt = w.due.Add(-w.ttft), w.arrivedAt.Add(w.maxWait())
	w.isLate = w.returning || w.oversized || now.After(w.lateAt)
	w.lines = q.linesOf(w.rank)
	w.lines.insert(w)
	q.byKey[w.key] = w
	heap.Push(&q.expiry, w)
	if !w.isLate {
		heap.Push(&q.lateness, w)
	}
}

// remove removes a request.
func (q *queue) remove(w *waiter) {
	w.lines.remove(w)
	w.dequeued = true
	delete(q.byKey, w.key)
}

// advance moves the requests that have become late to the late ones.
func (q *queue) advance(now time.Time) {
	for w := q.lateness.pop(now.Add(-1)); w != nil; w = q.lateness.pop(now.Add(-1)) {
		if !w.isLate {
			w.demote()
		}
	}
}

// nextOverdue returns a request that has waited too long, nil if there is none.
// The caller removes it.
func (q *queue) nextOverdue(now time.Time) *waiter { return q.expiry.pop(now) }

// position returns how many requests go before w, as of the latest call of
// advance.
func (q *queue) position(w *waiter) int {
	n, _ := q.ahead(w)
	return n
}

// ahead returns how many requests go before w and their work, as of the latest call
// of advance. The work of those in the same line is a mean.
func (q *queue) ahead(w *waiter) (n int, work time.Duration) {
	q.forEachLine(func(r *rankLines, c lineClass) bool {
		l := r.lines[c]
		if r != w.lines || c != w.class() {
			n, work = n+len(l), work+r.work[c]
			return true
		}
		i := l.index(w)
		n, work = n+i, work+time.Duration(float64(r.work[c])*float64(i)/float64(len(l)))
		return false
	})
	return n, work
}

// workUpTo returns the work of the queued requests of at most a rank.
func (q *queue) workUpTo(rank int) time.Duration {
	var work time.Duration
	for _, r := range q.ranks {
		if r.rank > rank {
			break
		}
		for _, line := range r.work {
			work += line
		}
	}
	return work
}

// ofHost returns the queued requests of a host.
func (q *queue) ofHost(host bbtfleet.HostID) []*waiter {
	var out []*waiter
	for k, w := range q.byKey {
		if k.host == host {
			out = append(out, w)
		}
	}
	return out
}

// all returns the queued requests in order of arrival.
func (q *queue) all() []*waiter {
	out := slices.Collect(maps.Values(q.byKey))
	slices.SortFunc(out, func(a, b *waiter) int { return cmp.Compare(a.sequence, b.sequence) })
	return out
}

// waiterHeap orders requests by a time. Requests that have left the queue stay in
// it until their time.
type waiterHeap struct {
	at      func(*waiter) time.Time
	waiters []*waiter
}

// Len returns the number of requests in the heap.
func (h *waiterHeap) Len() int { return len(h.waiters) }

// Less orders by time.
func (h *waiterHeap) Less(i, j int) bool { return h.at(h.waiters[i]).Before(h.at(h.waiters[j])) }

// Swap swaps two requests.
func (h *waiterHeap) Swap(i, j int) { h.waiters[i], h.waiters[j] = h.waiters[j], h.waiters[i] }

// Push appends a request; use heap.Push.
func (h *waiterHeap) Push(w any) { h.waiters = append(h.waiters, w.(*waiter)) }

// Pop removes the last request; use heap.Pop.
func (h *waiterHeap) Pop() any {
	n := len(h.waiters) - 1
	w := h.waiters[n]
	h.waiters[n] = nil
	h.waiters = h.waiters[:n]
	return w
}

// pop removes and returns the first request if it is still queued and its time is
// not after limit, nil if there is none.
func (h *waiterHeap) pop(limit time.Time) *waiter {
	for len(h.waiters) > 0 && !h.at(h.waiters[0]).After(limit) {
		if w := heap.Pop(h).(*waiter); !w.dequeued {
			return w
		}
	}
	return nil
}
