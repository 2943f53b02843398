package bbtsettings

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"bluebelltray/core/bbtini"
)

// Load reads a settings file. Relative paths of key files are resolved against
// the directory of the settings file. The error is a *bbtini.Error with all
// problems, or wraps the error from reading the settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	p := parser{file: path}
	p.parse(data)
	p.resolveKeyPaths(filepath.Dir(path))
	return p.finish()
}

// Parse parses the text of a settings file and leaves the paths of key files
// unresolved. The error is a *bbtini.Error with all problems.
func Parse(file string, data []byte) (*Settings, error) {
	p := parser{file: file}
	p.parse(data)
	return p.finish()
}

// resolveKeyPaths resolves the paths of key files against dir and reports files
// that cannot be read.
func (p *parser) resolveKeyPaths(dir string) {
	for _, k := range p.keyPaths {
		if !filepath.IsAbs(*k.path) {
			*k.path = filepath.Join(dir, *k.path)
		}
		f, err := os.Open(*k.path)
		if err != nil {
			k.section.ReportKeyProblem(k.key, "cannot be read", bbtini.WithValue(*k.path),
				bbtini.WithWant("a readable file in PEM"))
			continue
		}
		_ = f.Close() // opened for reading only
	}
}
