package bbtmetric_test

import (
	"fmt"

	"bluebelltray/core/bbtverdict"
	"bluebelltray/io/bbtmetric"
)

func ExampleCounters() {
	c := bbtmetric.New()
	c.Refused(bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonNoRoom))
	fmt.Println(c.Refusals(bbtverdict.ReasonNoRoom), c.Get("verdict-not-run"))
	// Output: 1 1
}
