package bbtowner_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtowner"
)

func TestOutrankedOwnerRaisesItsEpoch(t *testing.T) {
	now := time.Unix(0, 0)
	view := bbtowner.NewView(7, 3)
	var first, second bbtowner.Fencer
	number := func(f *bbtowner.Fencer, v bbtowner.View, rank int) uint64 {
		t.Helper()
		n, err := f.Number(v, rank)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	stepped := number(&second, view, 1)
	if got := number(&first, view, 0); got >= stepped {
		t.Fatalf("got %d of the first rank, want below %d of the one that stepped in", got, stepped)
	}
	if !first.Outranked(now, stepped) {
		t.Fatal("got no raise of the epoch")
	}
	back := number(&first, view, 0)
	if back <= stepped {
		t.Errorf("got %d, want above %d", back, stepped)
	}
	if first.Outranked(now.Add(bbtowner.TakeoverDelay-1), back+1) || !first.Outranked(now.Add(bbtowner.TakeoverDelay), back+1) {
		t.Errorf("want the next raise %v after the former", bbtowner.TakeoverDelay)
	}
	newer := number(&second, bbtowner.NewView(7, 4), 2)
	before := number(&first, view, 0)
	if first.Outranked(now.Add(time.Minute), newer) || number(&first, view, 0) != before {
		t.Error("got a raise above a number of a newer host list")
	}
}
