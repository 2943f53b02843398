package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
	"bluebelltray/io/bbtsettings"
)

// checker checks files, also against one another, and writes the problems found.
type checker struct {
	w         io.Writer
	manifests []namedManifest
	parts     []bbtconfig.Part // with the path as key
	problems  int
}

// namedManifest is a manifest and the path of its file.
type namedManifest struct {
	path     string
	manifest bbtconfig.Manifest
}

// add reads a file and checks what does not depend on other files.
func (c *checker) add(path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		c.report(path, err)
		return
	}
	switch firstKind(path, data) {
	case "host", "addresses", "keys", "log", "limits":
		c.checkSettings(path)
	case "manifest", "part":
		m, err := bbtconfig.ParseManifestFile(path, data)
		c.report(path, err)
		if err == nil {
			c.manifests = append(c.manifests, namedManifest{path: path, manifest: m})
		}
	default:
		c.parts = append(c.parts, bbtconfig.NewPart(path, data))
	}
}

// firstKind returns the kind of the file's first section.
func firstKind(path string, data []byte) string {
	var ignored bbtini.Report
	for s := range bbtini.Sections(path, data, &ignored) {
		return s.Kind()
	}
	return ""
}

// checkSettings checks a settings file of a host.
func (c *checker) checkSettings(path string) {
	s, err := bbtsettings.Load(path)
	c.report(path, err)
	if err == nil {
		fmt.Fprintf(c.w, "%s: settings of host %s in availability zone %s\n", path, s.Host(), s.Zone())
	}
}

// finish checks the parts against one another and against the manifests. It
// returns the configuration if there are parts and all of them are valid.
func (c *checker) finish() *bbtfleet.Configuration {
	for _, m := range c.manifests {
		c.checkManifest(m)
	}
	if len(c.parts) == 0 {
		return nil
	}
	check := bbtconfig.CheckPartial
	if len(c.manifests) > 0 {
		check = bbtconfig.Check
	}
	cfg, err := check(c.parts...)
	c.report("", err)
	return cfg
}

// checkManifest reports parts of a manifest that are missing or have other
// contents.
func (c *checker) checkManifest(m namedManifest) {
	for _, ref := range m.manifest.Parts() {
		p, ok := c.findPart(ref.Key())
		if ok && ref.Matches(p.Data()) {
			continue
		}
		reason, want := "part is not among the given files", "a file "+ref.Key()+" or "+ref.Key()+".ini"
		if ok {
			got := bbtconfig.NewPartRef(p)
			reason = "contents of the part do not match the manifest"
			want = fmt.Sprintf("digest = %016x and size = %dB for %s", got.Digest(), got.Size(), p.Key())
		}
		c.print(bbtini.NewProblem(m.path, 0, reason, bbtini.WithSection("part "+ref.Key()), bbtini.WithWant(want)))
	}
}

// findPart returns the part whose file is named after the key, with or without
// the suffix .ini.
func (c *checker) findPart(key string) (bbtconfig.Part, bool) {
	for _, p := range c.parts {
		base := filepath.Base(p.Key())
		if base == key || strings.TrimSuffix(base, ".ini") == key {
			return p, true
		}
	}
	return bbtconfig.Part{}, false
}

// report prints and counts all problems of an error, which may be nil.
func (c *checker) report(path string, err error) {
	var list *bbtini.Error
	switch {
	case err == nil:
	case errors.As(err, &list):
		for _, p := range list.Problems() {
			c.print(p)
		}
		c.problems += list.Dropped()
	default:
		c.print(bbtini.NewProblem(path, 0, err.Error(), bbtini.WithWant("a readable file")))
	}
}

// print prints and counts a problem.
func (c *checker) print(p bbtini.Problem) {
	fmt.Fprintln(c.w, p)
	c.problems++
}
