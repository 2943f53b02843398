package bbtowner_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtowner"
)

func TestRefusedOwnerRaisesItsEpoch(t *testing.T) {
	now := time.Unix(0, 0)
	view := bbtowner.NewView(7, 3)
	var first, second bbtowner.Fencer
	token := func(f *bbtowner.Fencer, v bbtowner.View, rank int) uint64 {
		t.Helper()
		n, err := f.Token(v, rank)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	takeover := token(&second, view, 1)
	if got := token(&first, view, 0); got >= takeover {
		t.Fatalf("got token %d of the first rank, want below %d of the rank that took over", got, takeover)
	}
	if !first.RaiseEpoch(now, takeover) {
		t.Fatal("got no raise of the epoch after a refusal")
	}
	resumed := token(&first, view, 0)
	if resumed <= takeover {
		t.Errorf("got token %d, want above %d", resumed, takeover)
	}
	if first.RaiseEpoch(now.Add(bbtowner.TakeoverDelay-1), resumed+1) || !first.RaiseEpoch(now.Add(bbtowner.TakeoverDelay), resumed+1) {
		t.Errorf("want the next raise %v after the last", bbtowner.TakeoverDelay)
	}
	newer := token(&second, bbtowner.NewView(7, 4), 2)
	before := token(&first, view, 0)
	if first.RaiseEpoch(now.Add(time.Minute), newer) || token(&first, view, 0) != before {
		t.Error("got a raise of the epoch above a token with a newer host list")
	}
}
