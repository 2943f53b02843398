package bbtmember

// MaxChanges is the largest number of changes in a message.
const MaxChanges = 8

// changeSends is how often a host sends a change on.
const changeSends = 16

// queued is a change with the number of sends left.
type queued struct {
	change Change
	left   int
}

// queue holds the changes to send on, the least sent first.
type queue struct{ items []queued }

// add queues a change in place of an older one of the same host.
func (q *queue) add(c Change) {
	for i := range q.items {
		if q.items[i].change.Host == c.Host {
			q.items = append(q.items[:i], q.items[i+1:]...)
			break
		}
	}
	q.items = append([]queued{{change: c, left: changeSends}}, q.items...)
}

// long reports whether the changes do not fit one message.
func (q *queue) long() bool { return len(q.items) > MaxChanges }

// next returns the changes for one message.
func (q *queue) next() []Change {
	n := min(len(q.items), MaxChanges)
	if n == 0 {
		return nil
	}
	out := make([]Change, 0, n)
	var rest []queued
	for _, it := range q.items[:n] {
		out = append(out, it.change)
		it.left--
		if it.left > 0 {
			rest = append(rest, it)
		}
	}
	q.items = append(append([]queued(nil), q.items[n:]...), rest...)
	return out
}
