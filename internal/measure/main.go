// Command measure simulates dispatch decisions in virtual time with simulated
// engines and faults, compares them with baselines and an ideal scheduler, and
// prints a table. The exit status is 1 if a policy with owners violated a rule.
package main

import (
	"bufio"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type cli struct {
	Seed     uint64 `default:"1" help:"First seed."`
	Seeds    uint64 `default:"1" help:"How many seeds to run."`
	Scenario string `help:"Run this scenario only."`
	Policy   string `help:"Run this policy only."`
	Detail   bool   `help:"Add a line for each run with its violations, refusal reasons and control bytes."`
}

func main() {
	var c cli
	kong.Parse(&c)
	if c.run() > 0 {
		os.Exit(1)
	}
}

// run prints the rows and returns the number of violations under policies with
// owners.
func (c *cli) run() int {
	out := bufio.NewWriter(os.Stdout)
	defer out.Flush()
	fmt.Fprintln(out, header)
	violations := 0
	for _, s := range scenarios {
		if c.Scenario != "" && c.Scenario != s.name {
			continue
		}
		for _, p := range policies {
			if c.Policy != p.name && (c.Policy != "" || p.explicitOnly) {
				continue
			}
			violations += c.runSeeds(out, s, p)
			out.Flush()
		}
	}
	return violations
}

// runSeeds runs a scenario under a policy, once for each seed.
func (c *cli) runSeeds(out *bufio.Writer, s scenario, p policy) int {
	violations := 0
	for seed := c.Seed; seed < c.Seed+c.Seeds; seed++ {
		score := s.run(p, seed).score
		score.print(out, seed)
		if c.Detail {
			score.detail(out)
		}
		if p.owners {
			violations += score.tiers[0].violations
		}
	}
	return violations
}
