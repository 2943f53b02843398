package bbtmetric_test

import (
	"fmt"

	"bluebelltray/core/bbtverdict"
	"bluebelltray/io/bbtmetric"
)

func ExampleCounters() {
	c := bbtmetric.New()
	c.Refused(bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonPoolFull))
	fmt.Println(c.Refusals(bbtverdict.ReasonPoolFull), c.Get("verdict-not-run"))
	// Output: 1 1
}
