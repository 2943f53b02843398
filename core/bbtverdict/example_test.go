package bbtverdict_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

func ExampleError() {
	err := bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonPoolFull,
		bbtverdict.WithRetryAfter(2*time.Second))
	fmt.Println(err, err.RetryAfter())
	// Output: not-run: no-room 2s
}

func ExampleOf() {
	refused := bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonDraining)
	fmt.Println(bbtverdict.Of(errors.Wrap(refused, "submit")))
	fmt.Println(bbtverdict.Of(errors.New("connection reset")))
	fmt.Println(bbtverdict.Of(nil))
	// Output:
	// not-run
	// may-have-run
	// ran
}
