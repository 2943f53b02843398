package bbtedge

import (
	"math"
	"testing"
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtschedule"
)

// mutePeers is the peer side of a host whose messages reach nobody.
type mutePeers struct{ *node }

func (mutePeers) Send(bbtfleet.HostID, any) bool { return true }

// FuzzPeerMessages delivers whatever decodes to both roles of a host. A peer may
// be of another version, or broken: nothing that it sends may end the process.
func FuzzPeerMessages(f *testing.F) {
	codec, err := NewCodec()
	if err != nil {
		f.Fatal(err)
	}
	big := time.Duration(math.MaxInt64)
	for _, msg := range []any{
		bbtschedule.Registration{ID: 1, Service: "plain", Account: limited.Name, Cost: math.Inf(1), Left: -big, Objective: big, Aim: big},
		bbtschedule.Registration{ID: 2, Service: "plain", Account: limited.Name, Cost: math.NaN(), Left: big, Prompt: -1, Output: math.MaxInt, Attempt: -1},
		bbtschedule.Registration{ID: 3, Service: "none"},
		bbtschedule.Permit{ID: 9, Endpoint: "i-9", Speed: bbtschedule.Speed{Read: float32(math.NaN()), Gap: -1}},
		bbtschedule.Refusal{ID: 9, RetryAfter: -big},
		bbtschedule.Began{ID: 9},
		bbtschedule.Done{ID: 1, Outcome: 200, Events: math.MinInt, Span: -big},
		bbtschedule.Takeover{
			Running: []bbtschedule.Running{{Endpoint: "i-0", For: -big, Began: true}},
			Used:    []bbtschedule.Use{{Account: limited.Name, Ago: -big, Amount: math.Inf(-1)}},
			Repeats: []bbtschedule.Use{{Service: "plain", Ago: big, Amount: math.NaN()}},
		},
		bbtschedule.Here{Deficits: []bbtschedule.Deficit{{Account: limited.Name, Lacks: math.NaN()}}},
		bbtschedule.Probe{}, bbtschedule.Withdrawal{ID: 9}, Lack{Revision: math.MaxUint64}, Roster{},
		bbtcatalog.Update{Revision: math.MaxUint64, Full: true, Changes: []bbtcatalog.Change{{}, {Config: &bbtcatalog.Config{Version: -1}}}},
		bbtmember.Ping{}, bbtmember.Ack{}, bbtmember.IndirectPing{}, bbtmember.IndirectAck{},
	} {
		data, err := codec.Encode(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	w, s := &network{codec: codec, nodes: make(map[bbtfleet.HostID]*node), spoken: make(map[bbtfleet.HostID]map[bbtfleet.HostID]bool)}, newStore(1)
	e := w.join("a", s)
	e.Close()
	e.peers = mutePeers{&node{network: w, id: "a"}}
	e.take(time.Now(), s.update, "platform")
	e.follow(time.Now())
	f.Fuzz(func(t *testing.T, data []byte) {
		msg, err := codec.Decode(data)
		if err != nil {
			return
		}
		now := time.Now()
		e.receive(now, "b", msg)
		e.receive(now, "a", msg)
		e.deliverLocal(now)
		e.doScheduler(e.scheduler.Tick(now.Add(time.Second)))
		for _, d := range e.scheduler.Deficits(now) {
			if math.IsNaN(d.Lacks) || math.IsInf(d.Lacks, 0) {
				t.Errorf("got %v used by %s after %+v", d.Lacks, d.Account, msg)
			}
		}
	})
}
