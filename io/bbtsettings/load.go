package bbtsettings

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"bluebelltray/core/bbtini"
)

// Load reads a settings file. Relative paths of PEM files are resolved against
// the directory of the settings file. The error is a *bbtini.Error with all
// problems, or wraps the error from reading the settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	p := parser{file: path}
	p.parse(data)
	p.resolvePEMPaths(filepath.Dir(path))
	return p.finish()
}

// Parse parses the text of a settings file and leaves the paths of PEM files
// unresolved; file is its name in error messages. The error is a *bbtini.Error
// with all problems.
func Parse(file string, data []byte) (*Settings, error) {
	p := parser{file: file}
	p.parse(data)
	return p.finish()
}

// resolvePEMPaths resolves the paths of PEM files against dir and reports files
// that cannot be read.
func (p *parser) resolvePEMPaths(dir string) {
	for _, pem := range p.pemPaths {
		if !filepath.IsAbs(*pem.path) {
			*pem.path = filepath.Join(dir, *pem.path)
		}
		f, err := os.Open(*pem.path)
		if err != nil {
			pem.section.ReportKeyProblem(pem.key, "cannot be read", bbtini.WithValue(*pem.path),
				bbtini.WithWant("a readable file in PEM"))
			continue
		}
		_ = f.Close() // opened for reading only
	}
}
