package bbtunit_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtunit"
)

func Example() {
	rate, _ := bbtunit.ParseRate("40 tokens/s", bbtunit.Tokens)
	size, _ := bbtunit.ParseSize("64KiB", 0, bbtunit.Mebibyte)
	_, err := bbtunit.ParseDuration("90", time.Second, time.Hour)
	fmt.Println(rate, size)
	fmt.Println(err)
	// Output:
	// 40 65536
	// "90" is not a duration; want a duration from 1s to 1h, such as 250ms or 2s
}
