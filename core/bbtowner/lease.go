package bbtowner

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
)

// askSpread is the part of AskInterval by which the time between questions
// varies, so that hosts that started together do not ask together.
const askSpread = 4

// Tick does what is due at now. It is to be called every TickInterval.
func (e *Elector) Tick(now time.Time) []Action {
	if e.placing == nil {
		return nil
	}
	actions := e.expire(now)
	if now.Sub(e.started) < PromiseFor {
		return actions
	}
	due := !now.Before(e.next)
	if due {
		e.next = now.Add(AskInterval - time.Duration(e.rng.Int64N(int64(AskInterval/askSpread))))
	}
	asks := make(map[bbtfleet.HostID]*LeaseAsk)
	for _, s := range e.states {
		e.settle(s)
		if e.wants(now, s) && (due || !s.wanted) {
			e.want(now, s, asks)
			actions = append(actions, e.acquire(now, s)...)
		}
	}
	for _, id := range sortedHosts(asks) {
		actions = append(actions, e.send(now, id, *asks[id]))
	}
	return actions
}

// want promises the host's own vote to itself and adds the endpoint to the
// questions to the other electors.
func (e *Elector) want(now time.Time, s *state, asks map[bbtfleet.HostID]*LeaseAsk) {
	if !s.wanted {
		s.wanted = true
		s.ballots = make(map[bbtfleet.HostID]ballot)
	}
	s.promise = promise{holder: e.self, until: now.Add(PromiseFor)}
	for _, id := range s.voters(e.self) {
		ask := asks[id]
		if ask == nil {
			ask = &LeaseAsk{View: e.view()}
			asks[id] = ask
		}
		ask.Claims = append(ask.Claims, e.claim(s, id))
	}
}

// expire gives up the endpoints that no majority supports any more.
func (e *Elector) expire(now time.Time) []Action {
	var actions []Action
	for _, s := range e.states {
		if s.holding && !s.supported(now, e.self, e.placing.listed) {
			s.abandon()
			actions = append(actions, Lost{Endpoint: s.id})
		}
	}
	return actions
}

// wants reports whether the host asks for support at now: the first elector
// always does, the others in turn when those before them have been silent.
func (e *Elector) wants(now time.Time, s *state) bool {
	if e.leaving || s.rank >= len(s.now.hosts) {
		return false
	}
	if s.promise.holder != e.self && now.Before(s.promise.until) {
		return false
	}
	if s.rank == 0 || s.holding {
		return true
	}
	silence := PromiseFor + TickInterval + time.Duration(s.rank-1)*AskInterval
	return now.Sub(s.preferred) >= silence
}

// claim returns the endpoint's entry in a LeaseAsk to the elector.
func (e *Elector) claim(s *state, to bbtfleet.HostID) Claim {
	c := Claim{Endpoint: string(s.id), Epoch: s.epoch + 1}
	if s.holding {
		c.Epoch = s.acquired
		c.Held = true
	}
	if settled := s.ballots[to].settled; settled != (View{}) {
		c.Settled = &settled
	}
	return c
}

// send returns the LeaseAsk with its number.
func (e *Elector) send(now time.Time, to bbtfleet.HostID, ask LeaseAsk) Send {
	e.seq++
	ask.Seq = e.seq
	q := question{seq: e.seq, sent: now}
	for _, c := range ask.Claims {
		q.claims = append(q.claims, bbtfleet.EndpointID(c.Endpoint))
	}
	e.asked[to] = q
	return Send{To: to, Message: ask}
}

// acquire takes the ownership once it is supported.
func (e *Elector) acquire(now time.Time, s *state) []Action {
	if s.holding || !s.wanted || !s.supported(now, e.self, e.placing.listed) {
		return nil
	}
	s.holding = true
	s.isNew = false
	s.epoch++
	s.acquired = s.epoch
	return []Action{Acquired{Endpoint: s.id, Fence: e.fence(s)}}
}

// Seen says which view is in force at a host, as known from elsewhere.
func (e *Elector) Seen(host bbtfleet.HostID, v View) {
	e.views[host] = e.views[host].join(v)
}

// Receive handles a message from a host.
func (e *Elector) Receive(now time.Time, from bbtfleet.HostID, msg Message) []Action {
	if e.placing == nil {
		return nil
	}
	switch msg := msg.(type) {
	case LeaseAsk:
		return e.receiveAsk(now, from, msg)
	case LeaseAnswer:
		return e.receiveAnswer(now, from, msg)
	case Release:
		e.receiveRelease(now, from, msg)
	}
	return nil
}

// receiveAnswer counts the votes of an elector.
func (e *Elector) receiveAnswer(now time.Time, from bbtfleet.HostID, msg LeaseAnswer) []Action {
	e.Seen(from, msg.View)
	q := e.asked[from]
	if q.seq != msg.Seq || len(q.claims) != len(msg.Votes) {
		return nil
	}
	var actions []Action
	for i, v := range msg.Votes {
		s, ok := e.find(q.claims[i])
		if !ok || !s.wanted {
			continue
		}
		s.epoch = max(s.epoch, v.Epoch)
		if !v.Granted {
			continue
		}
		b := ballot{asked: q.sent, settled: s.ballots[from].settled, isNew: v.New}
		for _, old := range v.Earlier {
			b.earlier = append(b.earlier, old.electorate())
		}
		s.ballots[from] = e.settleBallot(b)
		e.settle(s)
		actions = append(actions, e.acquire(now, s)...)
	}
	return actions
}

// receiveRelease frees the votes for a host that gives up endpoints, once what
// it has granted has run out. A release that a later question has overtaken
// counts for nothing.
func (e *Elector) receiveRelease(now time.Time, from bbtfleet.HostID, msg Release) {
	if msg.Seq < e.heard[from] {
		return
	}
	for _, id := range msg.Endpoints {
		s, ok := e.find(bbtfleet.EndpointID(id))
		if !ok {
			continue
		}
		if s.promise.holder == from && s.promise.until.After(now.Add(GrantFor)) {
			s.promise.until = now.Add(GrantFor)
		}
		if s.rankOf(from) < s.rank {
			s.preferred = now.Add(GrantFor - PromiseFor)
		}
	}
}

// electorate returns the electorate of the wire form.
func (w Electorate) electorate() electorate {
	out := electorate{view: w.View}
	for _, id := range w.Hosts {
		out.hosts = append(out.hosts, bbtfleet.HostID(id))
	}
	return out
}

// wire returns the wire form of the electorates.
func wire(list []electorate) []Electorate {
	var out []Electorate
	for _, e := range list {
		w := Electorate{View: e.view}
		for _, id := range e.hosts {
			w.Hosts = append(w.Hosts, string(id))
		}
		out = append(out, w)
	}
	return slices.Clip(out)
}
