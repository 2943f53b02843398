package bbtqueue_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtqueue"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
}

// order returns the waiting requests in order.
func order(q *bbtqueue.Queue) []bbtqueue.Item {
	var out []bbtqueue.Item
	q.Each(func(it bbtqueue.Item) bool {
		out = append(out, it)
		return true
	})
	return out
}

func drawItem(t *rapid.T, n int) bbtqueue.Item {
	return bbtqueue.Item{
		Key:      bbtqueue.Key{Host: "h", Request: uint64(n)},
		Tier:     bbtfleet.Tier(rapid.IntRange(1, 4).Draw(t, "tier")),
		Account:  bbtfleet.AccountID(fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "account"))),
		Deadline: time.Unix(int64(rapid.IntRange(0, 9).Draw(t, "deadline")), 0),
		Cost:     1,
	}
}

func TestOrderAndEviction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5
		q := bbtqueue.New(limit)
		for n := range rapid.IntRange(1, 30).Draw(t, "requests") {
			it := drawItem(t, n)
			evicted, full := q.Push(it)
			waiting := order(q)
			if got := q.Len(); got != len(waiting) || got > limit {
				t.Fatalf("Len() = %d with %d waiting, limit %d", got, len(waiting), limit)
			}
			for i, w := range waiting {
				if full && evicted.Tier.Outranks(w.Tier) {
					t.Fatalf("evicted tier %d while tier %d waits", evicted.Tier, w.Tier)
				}
				if i > 0 && w.Tier.Outranks(waiting[i-1].Tier) {
					t.Fatalf("tier %d waits behind tier %d", w.Tier, waiting[i-1].Tier)
				}
				if i > 0 && w.Tier == waiting[i-1].Tier && w.Account == waiting[i-1].Account && w.Deadline.Before(waiting[i-1].Deadline) {
					t.Fatalf("deadline %v waits behind %v", w.Deadline, waiting[i-1].Deadline)
				}
			}
			if rapid.Bool().Draw(t, "take") && len(waiting) > 0 {
				k := waiting[0].Key
				q.Take(k)
				if _, ok := q.Get(k); ok {
					t.Fatalf("Get(%v) finds a request that was taken", k)
				}
			}
		}
	})
}

func TestAccountsOfATierShareByCost(t *testing.T) {
	q := bbtqueue.New(1000)
	for n := range 300 {
		q.Push(bbtqueue.Item{Key: bbtqueue.Key{Host: "h", Request: uint64(n)}, Tier: 1, Account: "large", Cost: 100})
	}
	for n := range 100 {
		q.Push(bbtqueue.Item{Key: bbtqueue.Key{Host: "i", Request: uint64(n)}, Tier: 1, Account: "small", Cost: 300})
	}
	served := make(map[bbtfleet.AccountID]float64)
	for range 200 {
		it, _ := q.Take(order(q)[0].Key)
		served[it.Account] += it.Cost
	}
	if got, want := served["large"], served["small"]; got < want-300 || got > want+300 {
		t.Errorf("large account got %v, want about the small one's %v", got, want)
	}
}

func TestRefundRestoresTheShare(t *testing.T) {
	q := bbtqueue.New(10)
	for n, account := range []bbtfleet.AccountID{"a", "a", "b"} {
		q.Push(bbtqueue.Item{Key: bbtqueue.Key{Host: "h", Request: uint64(n)}, Tier: 1, Account: account, Cost: 10})
	}
	it, _ := q.Take(bbtqueue.Key{Host: "h", Request: 0})
	q.Refund(it)
	if got, want := order(q)[0].Account, bbtfleet.AccountID("a"); got != want {
		t.Errorf("first account after a refund = %q, want %q", got, want)
	}
}
