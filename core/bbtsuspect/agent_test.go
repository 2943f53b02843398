package bbtsuspect_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtsuspect"
)

// net simulates a few agents whose messages take up to half a second.
type net struct {
	rng       *rand.Rand
	now       time.Time
	agents    map[bbtfleet.HostID]*bbtsuspect.Agent
	hostIDs   []bbtfleet.HostID
	dead      map[bbtfleet.HostID]bool
	side      map[bbtfleet.HostID]int
	scheduled []scheduled
	calls     bbtsuspect.CallID
	stopped   bool // the caller has stopped sending
	sent      map[bbtfleet.HostID]int
	complete  map[bbtfleet.HostID]int
	crashes   int
	refused   int
	crashing  bool // requests crash their endpoint
}

func newNet(seed uint64, crashing bool) *net {
	n := &net{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(0, 0),
		agents:   make(map[bbtfleet.HostID]*bbtsuspect.Agent),
		dead:     make(map[bbtfleet.HostID]bool),
		side:     make(map[bbtfleet.HostID]int),
		sent:     make(map[bbtfleet.HostID]int),
		complete: make(map[bbtfleet.HostID]int),
		crashing: crashing,
	}
	for i := range 4 {
		n.hostIDs = append(n.hostIDs, bbtfleet.HostID(fmt.Sprint("edin-", i)))
	}
	for _, h := range n.hostIDs {
		first := func(hosts []bbtfleet.HostID, _ uint64) bbtfleet.HostID { return hosts[0] }
		n.agents[h] = bbtsuspect.NewAgent(h, 1, first)
		n.step(h, bbtsuspect.HostsChanged{Hosts: n.hostIDs})
	}
	n.now = n.now.Add(bbtsuspect.SettlingTime)
	return n
}

// after schedules a function at a random time within d.
func (n *net) after(d time.Duration, do func()) {
	n.scheduled = append(n.scheduled, scheduled{n.now.Add(time.Duration(n.rng.Int64N(int64(d)))), do})
}

// step passes an event to a live agent and executes its actions.
func (n *net) step(h bbtfleet.HostID, ev bbtsuspect.Event) {
	if n.dead[h] {
		return
	}
	for _, a := range n.agents[h].Step(n.now, ev) {
		switch a := a.(type) {
		case bbtsuspect.Admit:
			n.dispatch(h, a.Call)
		case bbtsuspect.Refuse:
			n.refused++
		case bbtsuspect.Send:
			if n.side[a.To] != n.side[h] {
				continue
			}
			n.after(500*time.Millisecond, func() {
				n.step(a.To, bbtsuspect.MessageReceived{From: h, Message: a.Message})
			})
		}
	}
}

// dispatch runs a call on a separate endpoint.
func (n *net) dispatch(h bbtfleet.HostID, id bbtsuspect.CallID) {
	ep := bbtfleet.EndpointID(fmt.Sprint("llm-", id))
	n.step(h, bbtsuspect.DispatchStarted{Call: id, Endpoint: ep})
	n.after(time.Minute, func() {
		if !n.crashing {
			n.complete[h]++
			n.step(h, bbtsuspect.CallEnded{Call: id, Complete: true})
			return
		}
		n.crashes++
		n.step(h, bbtsuspect.EndpointCrashed{Crash: bbtsuspect.Crash{Endpoint: ep, Incarnation: 1}})
	})
}

// run advances time while a caller sends through random hosts.
func (n *net) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(250 * time.Millisecond) {
		due := n.scheduled
		n.scheduled = nil
		for _, s := range due {
			if s.at.After(n.now) {
				n.scheduled = append(n.scheduled, s)
			} else {
				s.do()
			}
		}
		if n.rng.IntN(8) == 0 && !n.stopped {
			n.calls++
			h := n.hostIDs[n.rng.IntN(len(n.hostIDs))]
			n.sent[h]++
			n.step(h, bbtsuspect.AdmissionRequested{Call: n.calls, Fingerprint: testRequest})
		}
		for _, h := range n.hostIDs {
			n.step(h, bbtsuspect.Tick{})
		}
	}
}

// kill stops the process of the coordinator, which is the first host; the other
// hosts notice at different times.
func (n *net) kill(h bbtfleet.HostID) {
	n.dead[h] = true
	for _, o := range n.hostIDs {
		n.after(3*time.Second, func() { n.step(o, bbtsuspect.HostUnreachable{Host: h, Unreachable: true}) })
		n.after(10*time.Second, func() { n.step(o, bbtsuspect.HostsChanged{Hosts: n.hostIDs[1:]}) })
	}
}

// split partitions the fleet into two halves that both keep running.
func (n *net) split() {
	n.side[n.hostIDs[2]], n.side[n.hostIDs[3]] = 1, 1
	for _, h := range n.hostIDs {
		for _, o := range n.hostIDs {
			if n.side[h] != n.side[o] {
				n.step(h, bbtsuspect.HostUnreachable{Host: o, Unreachable: true})
			}
		}
	}
}

func TestAgentsLimitCrashes(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(n *net)
	}{
		{"none", func(*net) {}},
		{"partitioned", func(*net) {}},
		{"coordinator-killed", func(n *net) { n.kill(n.hostIDs[0]) }},
		// The agents select the first host, so this changes the coordinator.
		{"coordinator-joins", func(n *net) {
			for _, h := range n.hostIDs {
				n.step(h, bbtsuspect.HostsChanged{Hosts: []bbtfleet.HostID{"edin-3", "edin-2", "edin-1", "edin-0"}})
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(60) {
				n := newNet(seed, true)
				if tc.name == "partitioned" {
					n.split()
				}
				n.run(time.Duration(n.rng.Int64N(int64(2 * time.Minute))))
				tc.fault(n)
				n.run(4 * time.Minute)
				if n.crashes == 0 || n.crashes > bbtsuspect.MaxCrashes || n.refused == 0 {
					t.Fatalf("seed %d: got %d endpoints crashed and %d calls refused, want 1 or 2 crashed and at least 1 refused", seed, n.crashes, n.refused)
				}
			}
		})
	}
}

func TestAgentsCompleteHarmlessRequests(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(n *net)
	}{
		{"coordinator-killed", func(n *net) { n.kill(n.hostIDs[0]) }},
		{"partitioned", (*net).split},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := newNet(1, false)
			n.run(time.Second)
			tc.fault(n)
			n.run(4 * time.Minute)
			n.stopped = true
			n.run(4 * time.Minute)
			for _, h := range n.hostIDs {
				if got, want := n.complete[h], n.sent[h]; !n.dead[h] && got != want {
					t.Errorf("%s: got %d complete answers, want %d", h, got, want)
				}
			}
		})
	}
}

func TestCrashOfAttemptAdmittedWhileUnsettledBansRequest(t *testing.T) {
	var s bbtsuspect.Suspects
	coordinator := bbtsuspect.NewCoordinator(&s)
	now := time.Unix(0, 0)
	claim := bbtsuspect.Claim{Fingerprint: testRequest, Attempt: bbtsuspect.Attempt{Host: "edin-1", ID: 1}}
	coordinator.Decide(now, claim, false)
	coordinator.Release(now, bbtsuspect.Release{Fingerprint: testRequest, Attempt: claim.Attempt, Crash: &bbtsuspect.Crash{Endpoint: "llm-1"}})
	if got := coordinator.Claim(now, claim).DispatchMode; got != bbtsuspect.Banned {
		t.Errorf("got %v once settled, want banned", got)
	}
}

func TestLateClaimResponseIsReleased(t *testing.T) {
	n := newNet(1, true)
	late := bbtsuspect.ClaimResponse{Fingerprint: testRequest, Attempt: bbtsuspect.Attempt{Host: "edin-1", Incarnation: 1, ID: 7}, DispatchMode: bbtsuspect.Free}
	got := n.agents["edin-1"].Step(n.now, bbtsuspect.MessageReceived{From: "edin-0", Message: late})
	want := bbtsuspect.Release{Fingerprint: testRequest, Attempt: late.Attempt}
	if len(got) != 1 || got[0] != (bbtsuspect.Send{To: "edin-0", Message: want}) {
		t.Errorf("got %+v, want the claim released", got)
	}
}
