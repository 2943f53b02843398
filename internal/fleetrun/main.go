// Command fleetrun runs the control logic of many hosts in virtual time against a
// simulated platform. It prints one row of measurements per scenario, such as the
// platform calls and the traffic, and the violations of invariants and limits.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// maxPrinted is the maximum number of violations that are printed.
const maxPrinted = 10

type settings struct {
	Hosts     int      `help:"Entry hosts." default:"400"`
	Endpoints int      `help:"Endpoints." default:"600"`
	Contracts int      `help:"Contracts." default:"19000"`
	Zones     int      `help:"Availability zones." default:"7"`
	Changes   int      `help:"Changes of the configuration a day in the steady scenario." default:"300"`
	Unshared  bool     `help:"Let each host parse and keep its own configuration, to measure its memory."`
	Seed      uint64   `help:"Seed of all random choices." default:"1"`
	Scenario  []string `help:"Scenarios to run after the start; all if none is named."`
	Header    bool     `help:"Print the column names first." default:"true" negatable:""`
}

func main() {
	var s settings
	kong.Parse(&s)
	w := newWorld(s)
	if s.Header {
		fmt.Println(header)
	}
	for _, sc := range scenarios {
		if sc.name != "start" && len(s.Scenario) > 0 && !contains(s.Scenario, sc.name) {
			continue
		}
		fmt.Println(w.measure(sc))
	}
	all := w.checks.violations
	for _, v := range all[:min(len(all), maxPrinted)] {
		fmt.Fprintln(os.Stderr, "violation:", v)
	}
	if len(all) > 0 {
		fmt.Fprintln(os.Stderr, len(all), "violations")
		os.Exit(1)
	}
}

func contains(list []string, name string) bool {
	for _, s := range list {
		if s == name {
			return true
		}
	}
	return false
}
