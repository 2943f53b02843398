package bbtini_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtini"
	"bluebelltray/core/bbtunit"
)

func ExampleSections() {
	text := "[timer slow]\nperiod = 2m\nperiods = 3s\n"
	parse := func(text string) (time.Duration, error) {
		return bbtunit.ParseDuration(text, time.Second, time.Minute)
	}
	var r bbtini.Report
	for s := range bbtini.Sections("timers.ini", []byte(text), &r) {
		bbtini.Require(s, "period", parse)
		s.ReportUnknownKeys()
	}
	fmt.Println(r.Err())
	// Output:
	// timers.ini:2: period: "2m" is out of range; want a duration from 1s to 1m, such as 250ms or 2s (in [timer slow])
	// timers.ini:3: periods: unknown key; want one of period (in [timer slow])
}
