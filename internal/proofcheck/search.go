package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// addSearches adds the searches of the directory's list and notes properties
// and mutants that their models don't have.
func (t *tree) addSearches(spec string) error {
	list, err := ini.Load(filepath.Join(spec, "checks.ini"))
	if err != nil {
		return errors.Wrap(err, "list of searches")
	}
	for _, sec := range list.Sections() {
		if sec.Name() == ini.DefaultSection {
			continue
		}
		model, err := os.ReadFile(filepath.Join(spec, sec.Key("model").String()))
		if err != nil {
			return errors.Wrap(err, sec.Name())
		}
		t.addSearch(sec, string(model))
	}
	return nil
}

// addSearch adds one search of a model.
func (t *tree) addSearch(sec *ini.Section, model string) {
	t.searches[sec.Name()] = true
	for _, p := range sec.Key("property").Strings(",") {
		id := strings.ReplaceAll(p, "-", "_")
		if !regexp.MustCompile(`HOLD\(` + id + `,|ltl ` + id + ` `).MatchString(model) {
			t.dangling = append(t.dangling, fmt.Sprintf("%s: the model has no property %s", sec.Name(), p))
		}
	}
	mutant := sec.Key("mutant").String()
	if mutant == "" {
		return
	}
	t.mutants = append(t.mutants, sec.Name())
	macro := "MUTANT_" + strings.ToUpper(strings.ReplaceAll(mutant, "-", "_"))
	if !regexp.MustCompile(macro + `\b`).MatchString(model) {
		t.dangling = append(t.dangling, fmt.Sprintf("%s: the model has no mutant %s", sec.Name(), mutant))
	}
}
