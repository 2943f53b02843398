package main

import (
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// kind tells a search for safety from one for liveness.
type kind string

const (
	safety   kind = "safety"
	liveness kind = "liveness"
)

// search is one run of a model's generated verifier.
type search struct {
	name       string
	model      string
	kind       kind
	properties []string // the properties searched, or the one a mutant breaks
	mutant     string   // kebab case; empty for the model itself
	defines    []string // further macros, in kebab case
	depth      int      // steps
	hash       int      // binary logarithm of the hash table's slots
	memory     int      // MB
}

// The bounds of a search that states none.
const (
	defaultDepth  = 1_000_000
	defaultHash   = 22
	defaultMemory = 2048
)

// loadSearches reads the list of searches, one a section.
func loadSearches(path string) ([]search, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, errors.Wrap(err, "list of searches")
	}
	var out []search
	for _, sec := range file.Sections() {
		if sec.Name() == ini.DefaultSection {
			continue
		}
		s, err := newSearch(sec)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	if len(out) == 0 {
		return nil, errors.Newf("%s lists no search", path)
	}
	return out, nil
}

// newSearch returns the search of one section.
func newSearch(sec *ini.Section) (search, error) {
	s := search{
		name:       sec.Name(),
		model:      sec.Key("model").String(),
		kind:       kind(sec.Key("kind").In(string(safety), []string{string(safety), string(liveness)})),
		properties: sec.Key("property").Strings(","),
		mutant:     sec.Key("mutant").String(),
		defines:    sec.Key("define").Strings(","),
		depth:      sec.Key("depth").MustInt(defaultDepth),
		hash:       sec.Key("hash").MustInt(defaultHash),
		memory:     sec.Key("memory").MustInt(defaultMemory),
	}
	single := s.mutant != "" || s.kind == liveness
	switch {
	case s.model == "" || len(s.properties) == 0:
		return search{}, errors.Newf("%s: model and property are required", s.name)
	case single && len(s.properties) != 1:
		return search{}, errors.Newf("%s: a mutant or a liveness search names one property", s.name)
	}
	return s, nil
}

// selected returns the searches whose name starts with prefix.
func selected(all []search, prefix string) []search {
	var out []search
	for _, s := range all {
		if strings.HasPrefix(s.name, prefix) {
			out = append(out, s)
		}
	}
	return out
}

// macros returns the macros defined for the model.
func (s search) macros() []string {
	var out []string
	if s.kind == liveness {
		out = append(out, "-DLIVE")
	}
	if s.mutant != "" {
		out = append(out, "-DMUTANT_"+macroName(s.mutant))
	}
	for _, d := range s.defines {
		out = append(out, "-D"+macroName(d))
	}
	return out
}

// macroName returns the macro of a name in kebab case.
func macroName(name string) string {
	return strings.ToUpper(identifier(name))
}

// identifier returns the model's identifier of a name in kebab case.
func identifier(name string) string {
	return strings.ReplaceAll(name, "-", "_")
}
