package bbtowner

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"pgregory.net/rapid"
)

// Parameters of the simulated exchange of probes.
const (
	simTick          = 100 * time.Millisecond
	simProbePeriod   = 1500 * time.Millisecond
	simDuration      = 40 * time.Second
	simMaxDelayTicks = 8
)

// simHost is what one host knows of the others from the exchange of probes.
type simHost struct {
	heard, acked map[bbtfleet.HostID]time.Time
	answering    map[bbtfleet.HostID]time.Time
	pausedUntil  time.Time
	recent       []int // rights at the ticks of the last MaxPermitLifetime
}

// simMessage is a probe or an answer in flight.
type simMessage struct {
	from, to  bbtfleet.HostID
	at        time.Time
	probeSent time.Time // when the probe was sent
	answer    bool
}

// sim simulates the exchange of probes between the ranks of one endpoint.
type sim struct {
	t                *rapid.T
	now              time.Time
	start            time.Time
	m                *Placement
	ep               bbtfleet.Endpoint
	hosts            map[bbtfleet.HostID]*simHost
	ids              []bbtfleet.HostID
	partitionedUntil map[string]time.Time // end of the partition, by direction
	inFlight         []simMessage
}

// newSim returns a simulation of three ranks of an endpoint with the given
// number of slots.
func newSim(t *rapid.T, slots int) *sim {
	s := &sim{t: t, start: time.Unix(0, 0), hosts: make(map[bbtfleet.HostID]*simHost), partitionedUntil: make(map[string]time.Time)}
	s.now = s.start
	var list []bbtfleet.Host
	for i := range 3 {
		id := bbtfleet.HostID(fmt.Sprintf("h%d", i))
		list = append(list, bbtfleet.NewHost(id, "z"))
		s.ids = append(s.ids, id)
		s.hosts[id] = &simHost{
			heard:     make(map[bbtfleet.HostID]time.Time),
			acked:     make(map[bbtfleet.HostID]time.Time),
			answering: make(map[bbtfleet.HostID]time.Time),
		}
	}
	s.ep = bbtfleet.NewEndpoint("e", "z", bbtfleet.ModelEngine, "p", bbtfleet.WithSlots(slots))
	cfg := bbtfleet.NewConfiguration(bbtfleet.NewVersion(1, 1),
		bbtfleet.WithZones(bbtfleet.NewZone("z", "r", false)), bbtfleet.WithEndpoints(s.ep))
	s.m = NewPlacement(cfg, bbtfleet.NewHostList(1, list))
	return s
}

// right returns a host's current right.
func (s *sim) right(id bbtfleet.HostID) int {
	h := s.hosts[id]
	return s.m.Right(s.now, s.start, id, s.ep, func(other bbtfleet.HostID) Contact {
		return NewContact(h.heard[other], h.acked[other], true, false).AnsweringSince(h.answering[other])
	})
}

// granted returns how many slots a host's unexpired permits may fill now.
func (s *sim) granted(id bbtfleet.HostID) int {
	h := s.hosts[id]
	h.recent = append(h.recent, s.right(id))
	h.recent = h.recent[max(0, len(h.recent)-int(MaxPermitLifetime/simTick)):]
	return slices.Max(h.recent)
}

// send queues a message with a random delay unless its direction is partitioned.
func (s *sim) send(msg simMessage) {
	if s.now.Before(s.partitionedUntil[string(msg.from+">"+msg.to)]) {
		return
	}
	delay := rapid.IntRange(0, simMaxDelayTicks).Draw(s.t, "delay")
	msg.at = s.now.Add(time.Duration(delay) * simTick)
	s.inFlight = append(s.inFlight, msg)
}

// deliver processes the messages that have arrived at hosts that are not paused.
func (s *sim) deliver() {
	inFlight := s.inFlight
	s.inFlight = nil
	for _, msg := range inFlight {
		to := s.hosts[msg.to]
		if s.now.Before(msg.at) || s.now.Before(to.pausedUntil) {
			s.inFlight = append(s.inFlight, msg)
			continue
		}
		to.heard[msg.from] = s.now
		if msg.answer {
			if s.now.Sub(to.acked[msg.from]) >= YieldPeriod {
				to.answering[msg.from] = s.now
			}
			if msg.probeSent.After(to.acked[msg.from]) {
				to.acked[msg.from] = msg.probeSent
			}
			continue
		}
		s.send(simMessage{from: msg.to, to: msg.from, probeSent: msg.probeSent, answer: true})
	}
}

// injectFault partitions a direction or pauses a host at random.
func (s *sim) injectFault() {
	if rapid.IntRange(0, 30).Draw(s.t, "disturb") > 0 {
		return
	}
	a := rapid.SampledFrom(s.ids).Draw(s.t, "from")
	b := rapid.SampledFrom(s.ids).Draw(s.t, "to")
	until := s.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(s.t, "length")) * simTick)
	if a == b {
		s.hosts[a].pausedUntil = until
		return
	}
	s.partitionedUntil[string(a+">"+b)] = until
}

// step advances the simulation by one tick.
func (s *sim) step() {
	s.now = s.now.Add(simTick)
	s.injectFault()
	s.deliver()
	if s.now.Sub(s.start)%simProbePeriod != 0 {
		return
	}
	for _, a := range s.ids {
		for _, b := range s.ids {
			if a != b && !s.now.Before(s.hosts[a].pausedUntil) {
				s.send(simMessage{from: a, to: b, probeSent: s.now})
			}
		}
	}
}

func TestRightsNeverExceedTheSlots(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.IntRange(1, 9).Draw(t, "slots"))
		for s.now.Sub(s.start) < simDuration {
			s.step()
			sum := 0
			for _, id := range s.ids {
				sum += s.granted(id)
			}
			if got, most := sum, s.ep.Slots(); got > most {
				t.Fatalf("at %v: got grants for %d slots, want at most %d", s.now.Sub(s.start), got, most)
			}
		}
	})
}

func TestRightAfterHostFailure(t *testing.T) {
	s := newSim(nil, 9)
	ranks := s.m.Ranks("e")
	now := s.start.Add(time.Minute)
	recent := NewContact(now, now.Add(-time.Second), true, false)
	otherList := NewContact(now, now.Add(-time.Second), false, false)
	silent := NewContact(now.Add(-TakeoverDelay), now.Add(-TakeoverDelay), true, false)
	leaving := NewContact(now, now, true, true)
	exited := NewContact(now.Add(-YieldPeriod), now.Add(-YieldPeriod), true, true)
	tests := []struct {
		name     string
		rank     int
		contacts map[bbtfleet.HostID]Contact
		want     int
	}{
		{"first, all answer", 0, map[bbtfleet.HostID]Contact{ranks[1]: recent, ranks[2]: recent}, 9},
		{"first, one silent", 0, map[bbtfleet.HostID]Contact{ranks[1]: silent, ranks[2]: recent}, 6},
		{"first, one under another list", 0, map[bbtfleet.HostID]Contact{ranks[1]: otherList, ranks[2]: recent}, 6},
		{"first, all silent", 0, map[bbtfleet.HostID]Contact{ranks[1]: silent, ranks[2]: silent}, 3},
		{"second, first heard", 1, map[bbtfleet.HostID]Contact{ranks[0]: recent, ranks[2]: recent}, 0},
		{"second, first silent", 1, map[bbtfleet.HostID]Contact{ranks[0]: silent, ranks[2]: recent}, 3},
		{"second, first leaves", 1, map[bbtfleet.HostID]Contact{ranks[0]: leaving, ranks[2]: recent}, 9},
		{"second, first exited and may have restarted", 1, map[bbtfleet.HostID]Contact{ranks[0]: exited, ranks[2]: recent}, 3},
		{"first, second exited and may have restarted", 0, map[bbtfleet.HostID]Contact{ranks[1]: exited, ranks[2]: recent}, 6},
		{"third, second heard", 2, map[bbtfleet.HostID]Contact{ranks[0]: silent, ranks[1]: recent}, 0},
		{"third, all silent", 2, map[bbtfleet.HostID]Contact{ranks[0]: silent, ranks[1]: silent}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := s.m.Right(now, s.start, ranks[tt.rank], s.ep, func(id bbtfleet.HostID) Contact {
				return tt.contacts[id]
			})
			if got != tt.want {
				t.Errorf("got %d slots, want %d", got, tt.want)
			}
		})
	}
}

// fixSeed makes rapid run the same cases each time.
func fixSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}
