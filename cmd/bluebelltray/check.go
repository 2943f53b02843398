package main

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
)

// maxExplainedContracts is the largest number of contracts that are explained
// without --account.
const maxExplainedContracts = 20

// checkCmd checks settings, manifests and parts of the configuration.
type checkCmd struct {
	Files   []string `arg:"" name:"file" help:"Settings of a host, a manifest, or parts with zones, endpoints and contracts. Parts are checked against one another; a manifest wants all its parts, each named after its key."`
	Account []string `help:"Explain only the contracts of these client accounts."`
}

// Run checks the files and prints all problems, or explains the contracts.
func (c *checkCmd) Run() error { return c.check(os.Stdout) }

// check checks the files and writes the results to w. The error has the exit
// status exitUnusable if any file is unusable.
func (c *checkCmd) check(w io.Writer) error {
	k := checker{w: w}
	for _, path := range c.Files {
		k.add(path)
	}
	cfg := k.finish()
	if k.problems > 0 {
		err := errors.Newf("%s in %s", pluralize(k.problems, "problem"), pluralize(len(c.Files), "file"))
		return &exitError{code: exitUnusable, err: err}
	}
	if cfg == nil {
		return nil
	}
	return c.explain(w, cfg)
}

// explain writes a summary of the configuration and a description of its
// contracts.
func (c *checkCmd) explain(w io.Writer, cfg *bbtfleet.Configuration) error {
	contracts := cfg.Contracts()
	fmt.Fprintf(w, "%s, %s, %s\n", pluralize(len(cfg.Zones()), "availability zone"),
		pluralize(len(cfg.Endpoints()), "endpoint"), pluralize(len(contracts), "contract"))
	if len(c.Account) > 0 {
		return c.explainAccounts(w, cfg)
	}
	if len(contracts) > maxExplainedContracts {
		fmt.Fprintln(w, "too many contracts to explain all; select client accounts with --account")
		return nil
	}
	for _, k := range contracts {
		fmt.Fprintf(w, "\n%s\n", bbtconfig.Explain(k))
	}
	return nil
}

// explainAccounts describes the contracts of the accounts given by --account.
func (c *checkCmd) explainAccounts(w io.Writer, cfg *bbtfleet.Configuration) error {
	for _, name := range c.Account {
		k, ok := cfg.Contract(bbtfleet.AccountID(name))
		if !ok {
			return &exitError{code: exitUnusable, err: errors.Newf("no contract for client account %q", name)}
		}
		fmt.Fprintf(w, "\n%s\n", bbtconfig.Explain(k))
	}
	return nil
}

// pluralize returns a count with its noun in the singular or plural.
func pluralize(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
