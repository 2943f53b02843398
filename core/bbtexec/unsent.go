package bbtexec

import "time"

// Bounds of the replies that could not be sent.
const (
	maxUnsent  = 256
	unsentTime = time.Minute // after which the peer's caller has given up
)

// unsent is a reply that could not be sent, as the queue to its peer was full
// or the connection was being replaced.
type unsent struct {
	to      origin
	reply   ForwardReply
	expires time.Time
}

// replies are the unsent replies of an executor. The zero value is empty.
type replies struct {
	held  []unsent
	tried map[origin]time.Time // expiry of those sent again at the last tick
	lost  uint64
}

// keep holds a reply for the next tick. The oldest gives way to it.
func (s *replies) keep(now time.Time, to origin, r ForwardReply) {
	expires, again := s.tried[to]
	if !again {
		expires = now.Add(unsentTime)
	}
	if len(s.held) == maxUnsent {
		s.lost++
		s.held = s.held[1:]
	}
	s.held = append(s.held, unsent{to: to, reply: r, expires: expires})
}

// take returns the replies to send again.
func (s *replies) take(now time.Time) []Send {
	var out []Send
	s.tried = make(map[origin]time.Time, len(s.held))
	for _, u := range s.held {
		if !now.Before(u.expires) {
			s.lost++
			continue
		}
		s.tried[u.to] = u.expires
		out = append(out, Send{To: u.to.host, Message: u.reply})
	}
	s.held = nil
	return out
}
