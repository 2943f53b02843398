package bbtsettings

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"bluebelltray/core/bbtini"
)

// Load reads a settings file. Paths of keys that are not absolute start at the
// file's directory. The error is a *bbtini.Error with all problems, or wraps
// the error of a file that cannot be read.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	p := parser{file: path}
	p.parse(data)
	p.findKeys(filepath.Dir(path))
	return p.finish()
}

// Parse reads the text of a settings file and leaves the paths of keys as they
// stand. The error is a *bbtini.Error with all problems.
func Parse(file string, data []byte) (*Settings, error) {
	p := parser{file: file}
	p.parse(data)
	return p.finish()
}

// findKeys completes the paths of keys and reports the files that cannot be
// read.
func (p *parser) findKeys(dir string) {
	for _, k := range p.paths {
		if !filepath.IsAbs(*k.path) {
			*k.path = filepath.Join(dir, *k.path)
		}
		f, err := os.Open(*k.path)
		if err != nil {
			k.section.RefuseKey(k.key, "cannot be read", bbtini.WithValue(*k.path),
				bbtini.WithWant("a readable file in PEM"))
			continue
		}
		_ = f.Close() // nothing was written
	}
}
