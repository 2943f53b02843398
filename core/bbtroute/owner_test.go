package bbtroute_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtroute"
	"bluebelltray/core/bbtverdict"
)

func TestRequestWaitsForAnOwner(t *testing.T) {
	now := time.Unix(0, 0)
	e := bbtroute.New("entry-1", now)
	ep := bbtfleet.NewEndpoint("llm-1", "edin-a", bbtfleet.ModelEngine, "summary")
	e.SetTargets(now, []bbtroute.Target{{Endpoint: ep, Owner: "entry-2"}})
	e.Submit(now, bbtroute.Request{ID: 1, Pool: "summary", Tier: 1, Deadline: now.Add(2 * time.Second)})
	shed := bbtgrant.Shed{Request: 1, Reason: bbtverdict.ReasonNoOwner}
	if got := e.WasShed(now, "entry-2", shed); len(got) != 0 {
		t.Fatalf("got actions %+v, want none while the request waits", got)
	}
	now = now.Add(time.Second)
	again := e.Tick(now)
	if len(again) != 1 {
		t.Fatalf("got %+v, want one registration", again)
	}
	if _, ok := again[0].(bbtroute.Send).Message.(bbtgrant.Registration); !ok {
		t.Errorf("got %+v, want a registration", again[0])
	}
	now = now.Add(time.Second)
	for _, a := range append(e.WasShed(now, "entry-2", shed), e.Tick(now)...) {
		if r, ok := a.(bbtroute.Refuse); ok {
			if got, want := r.Err.Reason(), bbtverdict.ReasonDeadlineUnreachable; got != want {
				t.Errorf("got reason %v, want %v", got, want)
			}
			return
		}
	}
	t.Error("got no refusal at the deadline, want one")
}
