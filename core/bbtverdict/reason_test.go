package bbtverdict_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"bluebelltray/core/bbtverdict"
)

// declaredReasons returns the values of the constants in reason.go.
func declaredReasons(t *testing.T) []bbtverdict.Reason {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "reason.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var out []bbtverdict.Reason
	for d := range slices.Values(f.Decls) {
		group, ok := d.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			text, err := strconv.Unquote(spec.(*ast.ValueSpec).Values[0].(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			out = append(out, bbtverdict.Reason(text))
		}
	}
	return out
}

func TestEveryReasonIsListed(t *testing.T) {
	want := declaredReasons(t)
	if len(want) == 0 {
		t.Fatal("got no constants in reason.go, want the reasons")
	}
	if got := bbtverdict.Reasons(); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestEveryReasonIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATORS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range declaredReasons(t) {
		if !strings.Contains(string(page), "\n| `"+string(r)+"` |") {
			t.Errorf("got no row in docs/OPERATORS.md for reason %s", r)
		}
	}
}
