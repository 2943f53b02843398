// Package bbtprocess runs entry hosts and simulated platforms and endpoints
// (stand-ins, see internal/standin) as separate processes for fault tolerance
// tests.
package bbtprocess

import (
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Binaries holds the paths of the programs that the tests run.
type Binaries struct {
	host    string
	standin string
}

// Build compiles the programs into dir using the go command.
func Build(dir string) (Binaries, error) {
	b := Binaries{
		host:    filepath.Join(dir, "bluebelltray"),
		standin: filepath.Join(dir, "standin"),
	}
	for out, pkg := range map[string]string{
		b.host:    "bluebelltray/cmd/bluebelltray",
		b.standin: "bluebelltray/internal/standin",
	} {
		if text, err := exec.Command("go", "build", "-o", out, pkg).CombinedOutput(); err != nil {
			return Binaries{}, errors.Wrapf(err, "build %s: %s", pkg, text)
		}
	}
	return b, nil
}
