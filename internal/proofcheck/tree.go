package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// tree holds what the document may name: functions, tests included, as
// package/path.Name or package/path.Type.Name, and searches by section name. A
// search is one run of the model checker, a section of spec/checks.ini.
type tree struct {
	functions       map[string]bool
	searches        map[string]bool
	mutants         []string // names of the searches of mutants
	missingInModels []string // messages about properties and mutants that a search names and its model lacks
	testScript      string   // text of test.sh
}

// loadTree reads the source files, the list of searches and test.sh below root.
func loadTree(root string) (*tree, error) {
	t := &tree{functions: make(map[string]bool), searches: make(map[string]bool)}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && (d.Name() == "tools" || d.Name() == "bin" || d.Name() == ".git"):
			return fs.SkipDir
		case filepath.Ext(path) != ".go":
			return nil
		}
		return t.addFile(root, path)
	})
	if err != nil {
		return nil, errors.Wrap(err, "parse source files")
	}
	script, err := os.ReadFile(filepath.Join(root, "test.sh"))
	if err != nil {
		return nil, err
	}
	t.testScript = string(script)
	return t, t.addSearches(filepath.Join(root, "spec"))
}

// hasEvidence reports whether the named test exists, or the named search if the
// name starts with spec/.
func (t *tree) hasEvidence(name string) bool {
	if search, ok := strings.CutPrefix(name, "spec/"); ok {
		return t.searches[search]
	}
	return t.functions[name]
}

// addFile adds the functions that a source file declares.
func (t *tree) addFile(root, path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	dir, err := filepath.Rel(root, filepath.Dir(path))
	if err != nil {
		return err
	}
	for _, d := range file.Decls {
		if f, ok := d.(*ast.FuncDecl); ok {
			t.functions[filepath.ToSlash(dir)+"."+qualifiedName(f)] = true
		}
	}
	return nil
}

// qualifiedName returns the name of a function, or Type.Name for a method.
func qualifiedName(f *ast.FuncDecl) string {
	if f.Recv == nil || len(f.Recv.List) == 0 {
		return f.Name.Name
	}
	typ := f.Recv.List[0].Type
	if star, ok := typ.(*ast.StarExpr); ok {
		typ = star.X
	}
	if id, ok := typ.(*ast.Ident); ok {
		return id.Name + "." + f.Name.Name
	}
	return f.Name.Name
}
