package bbtowner

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// receiveAsk votes on the claims of a host.
func (e *Elector) receiveAsk(now time.Time, from bbtfleet.HostID, msg LeaseAsk) []Action {
	e.Seen(from, msg.View)
	e.heard[from] = msg.Seq
	answer := LeaseAnswer{Seq: msg.Seq, View: e.view()}
	var actions []Action
	for _, c := range msg.Claims {
		v, more := e.vote(now, from, c)
		answer.Votes = append(answer.Votes, v)
		actions = append(actions, more...)
	}
	return append(actions, Send{To: from, Message: answer})
}

// vote decides on one claim.
func (e *Elector) vote(now time.Time, from bbtfleet.HostID, c Claim) (Vote, []Action) {
	s, ok := e.find(bbtfleet.EndpointID(c.Endpoint))
	if !ok || !s.elects(from) || now.Sub(e.started) < PromiseFor {
		return Vote{}, nil
	}
	e.learn(now, s, from, c)
	v := Vote{Epoch: s.epoch, New: s.isNew}
	free, actions := e.free(now, s, from)
	if !free {
		v.Holder = string(s.promise.holder)
		return v, actions
	}
	s.promise = promise{holder: from, until: now.Add(PromiseFor)}
	s.epoch = max(s.epoch, c.Epoch)
	s.isNew = s.isNew && !c.Held
	v.Granted = true
	v.Earlier = wire(s.earlier)
	return v, actions
}

// learn takes from a claim what it says besides.
func (e *Elector) learn(now time.Time, s *state, from bbtfleet.HostID, c Claim) {
	if s.rankOf(from) < s.rank {
		s.preferred = now
	}
	e.settle(s)
	if c.Settled == nil {
		return
	}
	kept := s.earlier[:0]
	for _, old := range s.earlier {
		if !c.Settled.covers(old.view) {
			kept = append(kept, old)
		}
	}
	s.earlier = kept
}

// free reports whether the host may vote for another at now. An owner gives way
// to a host of better rank, after what it has granted has run out; a host of
// better rank does not prolong its vote for a worse one.
func (e *Elector) free(now time.Time, s *state, from bbtfleet.HostID) (bool, []Action) {
	better := s.rankOf(from) < s.rank
	if s.promise.holder == e.self && s.wanted && now.Before(s.promise.until) {
		if !better {
			return false, nil
		}
		held := s.holding
		actions := e.release(s)
		s.promise.until = now.Add(GrantFor)
		return !held, actions
	}
	if now.Before(s.promise.until) && s.promise.holder != from {
		return false, nil
	}
	return better || e.leaving || s.rank >= len(s.now.hosts), nil
}
