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

// discardingPeers is a transport that discards all messages.
type discardingPeers struct{ *node }

func (discardingPeers) Send(bbtfleet.HostID, any) bool { return true }

// FuzzPeerMessages delivers every message that can be decoded as if from a peer and
// as if from the host itself. No message may crash the process, since a peer may be
// faulty or of another version.
func FuzzPeerMessages(f *testing.F) {
	codec, err := NewCodec()
	if err != nil {
		f.Fatal(err)
	}
	maxDuration := time.Duration(math.MaxInt64)
	for _, msg := range []any{
		bbtschedule.Registration{ID: 1, Service: "plain", Account: limitedAccount.Name, Cost: math.Inf(1), RemainingTime: -maxDuration, RemainingObjective: maxDuration, EffectiveObjective: maxDuration},
		bbtschedule.Registration{ID: 2, Service: "plain", Account: limitedAccount.Name, Cost: math.NaN(), RemainingTime: maxDuration, PromptTokens: -1, MaxOutputTokens: math.MaxInt, Attempt: -1},
		bbtschedule.Registration{ID: 3, Service: "none"},
		bbtschedule.Permit{ID: 9, Endpoint: "i-9", SpeedEstimate: bbtschedule.SpeedEstimate{PrefillMsPerToken: float32(math.NaN()), EventGapMs: -1}},
		bbtschedule.Refusal{ID: 9, RetryAfter: -maxDuration},
		bbtschedule.FirstEvent{ID: 9}, bbtschedule.FirstEvent{ID: 1, Limit: bbtschedule.StatedLimit{Answered: true, Limited: true, PerSecond: math.Inf(1)}},
		bbtschedule.Done{ID: 1, Outcome: 200, Events: math.MinInt, Span: -maxDuration},
		bbtschedule.Takeover{
			Running:      []bbtschedule.Running{{Endpoint: "i-0", Elapsed: -maxDuration, FirstEvent: true}},
			AccountUsage: []bbtschedule.Usage{{Account: limitedAccount.Name, Age: -maxDuration, Amount: math.Inf(-1)}},
			Retries:      []bbtschedule.Usage{{Service: "plain", Age: maxDuration, Amount: math.NaN()}},
			Learned:      bbtschedule.Learned{Quarantines: []bbtschedule.Quarantine{{Remaining: -maxDuration, Times: math.MinInt}, {Blocks: []uint64{1}, Remaining: maxDuration, Times: math.MaxInt}}},
			Limits:       []bbtschedule.Limit{{Endpoint: "i-0", Limit: bbtschedule.StatedLimit{Answered: true, Limited: true, PerSecond: math.NaN()}, Age: -maxDuration}},
		},
		bbtschedule.Registration{ID: 4, Service: "plain", Retry: true, Exclude: []string{"i-0", "i-0"}},
		bbtschedule.FirstEvent{ID: 9, Draining: bbtschedule.Incarnation{Endpoint: "i-0", StartTimeMS: math.MinInt64}},
		bbtschedule.Done{ID: 9, Draining: bbtschedule.Incarnation{Endpoint: "i-0", Address: "10.1.0.1:80", StartTimeMS: math.MaxInt64}},
		bbtschedule.Done{ID: 1, Outcome: bbtschedule.Rejected, Pause: bbtschedule.Pause{Incarnation: bbtschedule.Incarnation{Endpoint: "i-0"}, Remaining: maxDuration}},
		bbtschedule.Takeover{Pauses: []bbtschedule.Pause{{Remaining: -maxDuration}, {Incarnation: bbtschedule.Incarnation{Endpoint: "i-0", Address: "10.1.0.1:80"}, Remaining: maxDuration}}},
		bbtschedule.Takeover{Draining: []bbtschedule.Incarnation{{}, {Endpoint: "i-0"}, {Endpoint: "i-0", Address: "x"}}},
		bbtschedule.Permit{ID: 9, Endpoint: "i-0", StartTimeMS: math.MinInt64},
		bbtschedule.ProbeReply{Deficits: []bbtschedule.Deficit{{Account: limitedAccount.Name, Units: math.NaN()}}, Unknown: []bbtschedule.Pending{{ID: 1, Attempt: math.MinInt}}},
		bbtschedule.Probe{}, bbtschedule.Probe{Pending: make([]bbtschedule.Pending, 1000)}, bbtschedule.Withdrawal{ID: 1, Attempt: math.MaxInt}, bbtschedule.Withdrawal{ID: 9}, UpdateRequest{Revision: math.MaxUint64}, UpdateRequest{Era: math.MaxUint64, Version: math.MinInt64}, MembershipSnapshot{},
		bbtcatalog.Update{Revision: math.MaxUint64, Full: true, Changes: []bbtcatalog.Change{{}, {Config: &bbtcatalog.Config{Version: -1}}}},
		bbtcatalog.Update{Revision: 1, Era: 1, Full: true, Changes: []bbtcatalog.Change{{Revision: 9, Endpoint: &bbtcatalog.Endpoint{ID: "i-0", StartTimeMS: -1}}, {Zone: new(string), Removed: true}}},
		bbtmember.Ping{}, bbtmember.Ack{}, bbtmember.IndirectPing{}, bbtmember.IndirectAck{},
	} {
		data, err := codec.Encode(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	w, s := &network{codec: codec, nodes: make(map[bbtfleet.HostID]*node), sentTo: make(map[bbtfleet.HostID]map[bbtfleet.HostID]bool)}, newStore(1)
	e := w.join("a", s)
	e.Close()
	e.peers = discardingPeers{&node{network: w, id: "a"}}
	e.applyUpdate(time.Now(), s.update, "platform")
	e.electOwner(time.Now())
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
			if math.IsNaN(d.Units) || math.IsInf(d.Units, 0) {
				t.Errorf("got %v used by %s after %+v", d.Units, d.Account, msg)
			}
		}
	})
}
