package bbtmember

// MaxChanges is the maximum number of changes in a message.
const MaxChanges = 8

// sendsPerChange is the number of messages in which a host forwards a change.
const sendsPerChange = 16

// queuedChange is a change with the number of messages in which it is still to
// be sent.
type queuedChange struct {
	change    Change
	sendsLeft int
}

// queue holds the changes to forward, those sent least recently first. New ones
// go before all others.
type queue struct{ items []queuedChange }

// add queues a change. It replaces a queued change of the same host.
func (q *queue) add(c Change) {
	for i := range q.items {
		if q.items[i].change.Host == c.Host {
			q.items = append(q.items[:i], q.items[i+1:]...)
			break
		}
	}
	q.items = append([]queuedChange{{change: c, sendsLeft: sendsPerChange}}, q.items...)
}

// exceedsMessage reports whether the changes do not fit into one message.
func (q *queue) exceedsMessage() bool { return len(q.items) > MaxChanges }

// nextBatch returns the changes for the next message.
func (q *queue) nextBatch() []Change {
	n := min(len(q.items), MaxChanges)
	if n == 0 {
		return nil
	}
	out := make([]Change, 0, n)
	var rest []queuedChange
	for _, it := range q.items[:n] {
		out = append(out, it.change)
		it.sendsLeft--
		if it.sendsLeft > 0 {
			rest = append(rest, it)
		}
	}
	q.items = append(append([]queuedChange(nil), q.items[n:]...), rest...)
	return out
}
