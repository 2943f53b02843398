// Command limitrun measures how accurately limiters on many hosts enforce contract
// rates. It runs the limiters in virtual time and prints one row per scenario.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

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

// print runs the selected scenarios and writes their rows.
func (c *cli) print(w io.Writer) {
	fmt.Fprintln(w, header)
	for _, s := range scenarios {
		if c.Scenario == "" || c.Scenario == s.name {
			fmt.Fprintln(w, s.run(c.Seed))
		}
	}
}
