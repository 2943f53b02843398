package bbtexec

import "time"

// Limits of a replyQueue.
const (
	maxUnsentReplies   = 256
	unsentReplyTimeout = time.Minute // the caller connected to the peer has timed out by then
)

// unsentReply is a reply that could not be sent because the send queue of the
// peer was full or the connection was being replaced.
type unsentReply struct {
	to      origin
	reply   ForwardReply
	expires time.Time
}

// replyQueue holds the replies that an executor could not send. The zero value
// is an empty queue.
type replyQueue struct {
	queued  []unsentReply
	resent  map[origin]time.Time // expiry of each reply resent at the last tick
	dropped uint64
}

// add queues a reply for the next tick. A full queue drops its oldest reply. A
// reply that was resent at the last tick keeps its expiry.
func (q *replyQueue) add(now time.Time, to origin, r ForwardReply) {
	expires, known := q.resent[to]
	if !known {
		expires = now.Add(unsentReplyTimeout)
	}
	if len(q.queued) == maxUnsentReplies {
		q.dropped++
		q.queued = q.queued[1:]
	}
	q.queued = append(q.queued, unsentReply{to: to, reply: r, expires: expires})
}

// take empties the queue and returns the replies to resend. Expired replies are
// dropped.
func (q *replyQueue) take(now time.Time) []Send {
	var sends []Send
	q.resent = make(map[origin]time.Time, len(q.queued))
	for _, u := range q.queued {
		if !now.Before(u.expires) {
			q.dropped++
			continue
		}
		q.resent[u.to] = u.expires
		sends = append(sends, Send{To: u.to.host, Message: u.reply})
	}
	q.queued = nil
	return sends
}
