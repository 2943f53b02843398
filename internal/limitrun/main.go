// Command limitrun measures how well contract rates hold over many hosts: it
// runs the limiters in virtual time and prints one row for each scenario.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// cli holds the command's flags.
type cli struct {
	Seed     uint64 `help:"Seed of the random numbers." default:"1"`
	Scenario string `help:"Run only the scenario of this name."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Description("Measures contract rates over many hosts in virtual time."))
	w := bufio.NewWriter(os.Stdout)
	c.print(w)
	ctx.FatalIfErrorf(w.Flush())
}

// print runs the scenarios and writes their rows.
func (c *cli) print(w io.Writer) {
	fmt.Fprintln(w, header)
	for _, s := range scenarios {
		if c.Scenario == "" || c.Scenario == s.name {
			fmt.Fprintln(w, s.run(c.Seed))
		}
	}
}
