// Command proofcheck checks docs/PROOF.md against the tree: each test, search
// and function that it names exists, each cell of its table of promises names
// evidence or is marked open, and test.sh runs what it names.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// options are the command line's flags.
type options struct {
	Root string `help:"Root of the module." default:"."`
}

func main() {
	var opts options
	kong.Parse(&opts, kong.Name("proofcheck"))
	if err := run(opts.Root); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// knownRed lists the tests that fail for a fault that is not mended yet.
const knownRed = "KNOWN-RED.txt"

// printKnownRed prints the list of known failures, if there is one.
func printKnownRed(root string) {
	text, err := os.ReadFile(filepath.Join(root, knownRed))
	if err == nil {
		fmt.Printf("\n%s: %s", knownRed, text)
	}
}

// run prints the faults of the page and the number of open cells.
func run(root string) error {
	doc, err := loadDocument(root)
	if err != nil {
		return err
	}
	t, err := loadTree(root)
	if err != nil {
		return err
	}
	faults := doc.check(t)
	for _, f := range faults {
		fmt.Println(f)
	}
	cells, open := doc.cells()
	fmt.Printf("%d cells, %d open; %d pieces of evidence, %d rules\n", cells, open, len(doc.evidence), len(doc.rules))
	printKnownRed(root)
	if len(faults) > 0 {
		return errors.Newf("%d faults in %s", len(faults), page)
	}
	return nil
}
