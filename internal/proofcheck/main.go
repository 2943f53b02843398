// Command proofcheck checks docs/PROOF.md against the source tree: each test,
// model-checker search and function that it names must exist, each cell of its table
// of promises must name evidence or be marked open, and test.sh must run the tests,
// the model checks and this command.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// options holds the command-line flags.
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

// knownFailuresPath is the path of the list of tests that fail because of a bug
// that is known and not fixed yet, below the root.
const knownFailuresPath = "KNOWN-RED.txt"

// printKnownFailures prints the list of known failures if the file exists.
func printKnownFailures(root string) {
	text, err := os.ReadFile(filepath.Join(root, knownFailuresPath))
	if err == nil {
		fmt.Printf("\n%s: %s", knownFailuresPath, text)
	}
}

// run prints the problems of the document and the number of open cells.
func run(root string) error {
	doc, err := loadDocument(root)
	if err != nil {
		return err
	}
	t, err := loadTree(root)
	if err != nil {
		return err
	}
	problems := doc.check(t)
	for _, p := range problems {
		fmt.Println(p)
	}
	cells, open := doc.countCells()
	fmt.Printf("%d cells, %d open; %d pieces of evidence, %d rules\n", cells, open, len(doc.evidence), len(doc.rules))
	printKnownFailures(root)
	if len(problems) > 0 {
		return errors.Newf("%d problems in %s", len(problems), proofPath)
	}
	return nil
}
