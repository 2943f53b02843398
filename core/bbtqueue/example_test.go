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
	first, _ := q.Next(func(bbtqueue.Item) bool { return true })
	fmt.Println(evicted.Tier, first.Tier)
	// Output: 3 1
}
