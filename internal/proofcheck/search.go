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

// addSearches adds the model-checker searches that spec/checks.ini lists and records
// the properties and mutants that are missing in their models.
func (t *tree) addSearches(spec string) error {
	list, err := ini.Load(filepath.Join(spec, "checks.ini"))
	if err != nil {
		return errors.Wrap(err, "load list of searches")
	}
	for _, sec := range list.Sections() {
		if sec.Name() == ini.DefaultSection {
			continue
		}
		model, err := readModel(filepath.Join(spec, sec.Key("model").String()))
		if err != nil {
			return errors.Wrap(err, sec.Name())
		}
		t.addSearch(sec, model)
	}
	return nil
}

// includeDirective matches an include of a model, with the file name as submatch.
var includeDirective = regexp.MustCompile(`(?m)^#include "([^"]+)"$`)

// readModel returns the text of a model, followed by the text of each file that it
// includes.
func readModel(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	model := string(data)
	for _, m := range includeDirective.FindAllStringSubmatch(model, -1) {
		header, err := os.ReadFile(filepath.Join(filepath.Dir(path), m[1]))
		if err != nil {
			return "", err
		}
		model += string(header)
	}
	return model, nil
}

// addSearch adds the search of a section and checks that the text of its model has
// the properties and the mutant that the section names.
func (t *tree) addSearch(sec *ini.Section, model string) {
	t.searches[sec.Name()] = true
	for _, p := range sec.Key("property").Strings(",") {
		// A model declares a property as HOLD(id, expression) or as ltl id { formula }.
		id := strings.ReplaceAll(p, "-", "_")
		if !regexp.MustCompile(`HOLD\(` + id + `,|ltl ` + id + ` `).MatchString(model) {
			t.missingInModels = append(t.missingInModels, fmt.Sprintf("%s: the model has no property %s", sec.Name(), p))
		}
	}
	mutant := sec.Key("mutant").String()
	if mutant == "" {
		return
	}
	t.mutants = append(t.mutants, sec.Name())
	macro := "MUTANT_" + strings.ToUpper(strings.ReplaceAll(mutant, "-", "_"))
	if !regexp.MustCompile(macro + `\b`).MatchString(model) {
		t.missingInModels = append(t.missingInModels, fmt.Sprintf("%s: the model has no mutant %s", sec.Name(), mutant))
	}
}
