package main

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
)

// explainedContracts is how many contracts are explained without being asked
// for.
const explainedContracts = 20

// checkCmd checks settings, manifests and parts of the configuration.
type checkCmd struct {
	Files   []string `arg:"" name:"file" help:"Settings of a host, a manifest, or parts with zones, endpoints and contracts. Parts are checked against one another; a manifest wants all its parts, each named after its key."`
	Account []string `help:"Explain only the contracts of these client accounts."`
}

// Run checks the files and prints all problems, or explains the contracts.
func (c *checkCmd) Run() error { return c.check(os.Stdout) }

// check checks the files and writes to w. The error has exit status 2 if any
// file is unusable.
func (c *checkCmd) check(w io.Writer) error {
	k := checker{w: w}
	for _, path := range c.Files {
		k.add(path)
	}
	cfg := k.finish()
	if k.problems > 0 {
		err := errors.Newf("%s in %s", counted(k.problems, "problem"), counted(len(c.Files), "file"))
		return &exitError{code: exitUnusable, err: err}
	}
	if cfg == nil {
		return nil
	}
	return c.explain(w, cfg)
}

// explain writes what the configuration holds and its contracts in plain words.
func (c *checkCmd) explain(w io.Writer, cfg *bbtfleet.Configuration) error {
	contracts := cfg.Contracts()
	fmt.Fprintf(w, "%s, %s, %s\n", counted(len(cfg.Zones()), "availability zone"),
		counted(len(cfg.Endpoints()), "endpoint"), counted(len(contracts), "contract"))
	if len(c.Account) > 0 {
		return c.explainSome(w, cfg)
	}
	if len(contracts) > explainedContracts {
		fmt.Fprintln(w, "name contracts to be explained with --account")
		return nil
	}
	for _, k := range contracts {
		fmt.Fprintf(w, "\n%s\n", bbtconfig.Explain(k))
	}
	return nil
}

// explainSome writes the contracts asked for.
func (c *checkCmd) explainSome(w io.Writer, cfg *bbtfleet.Configuration) error {
	for _, name := range c.Account {
		k, ok := cfg.Contract(bbtfleet.AccountID(name))
		if !ok {
			return &exitError{code: exitUnusable, err: errors.Newf("no contract of client account %q", name)}
		}
		fmt.Fprintf(w, "\n%s\n", bbtconfig.Explain(k))
	}
	return nil
}

// counted returns a number with its noun.
func counted(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
