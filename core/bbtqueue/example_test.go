package bbtqueue_test

import (
	"fmt"

	"bluebelltray/core/bbtqueue"
)

func ExampleQueue() {
	q := bbtqueue.New(2)
	q.Push(bbtqueue.Item{Key: bbtqueue.Key{Host: "a", Request: 1}, Tier: 3, Account: "x"})
	q.Push(bbtqueue.Item{Key: bbtqueue.Key{Host: "a", Request: 2}, Tier: 2, Account: "x"})
	evicted, _ := q.Push(bbtqueue.Item{Key: bbtqueue.Key{Host: "b", Request: 1}, Tier: 1, Account: "y"})
	q.Each(func(first bbtqueue.Item) bool {
		fmt.Println(evicted.Tier, first.Tier)
		return false
	})
	// Output: 3 1
}
