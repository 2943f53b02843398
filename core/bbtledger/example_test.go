package bbtledger_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtledger"
)

func ExampleLedger() {
	l := bbtledger.NewLedger()
	now := time.Unix(0, 0)
	seq, _, _ := l.Issue(now, "kitchen")
	first, _ := l.Redeem(now, seq, "kitchen", 1)
	d, ok := l.Dispatch(now, seq)
	second, _ := l.Redeem(now, seq, "kitchen", 1)
	fmt.Println(first, ok, second)

	l.Finish(seq, d, bbtledger.NewResponse(200, "text/plain", []byte("booked")))
	r, _ := l.Response(seq, "kitchen")
	fmt.Println(l.State(seq, "kitchen"), string(r.Body()))
	// Output:
	// issued true dispatching
	// finished booked
}
