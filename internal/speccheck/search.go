package main

import (
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// kind is the kind of the properties that a search verifies.
type kind string

const (
	safety   kind = "safety"
	liveness kind = "liveness"
)

// search is one run of the verifier that spin generates from a model.
type search struct {
	name       string
	model      string
	kind       kind
	properties []string // properties verified, or the one that the mutant must violate
	mutant     string   // kebab case; empty for the model itself
	defines    []string // further macros to define, in kebab case
	maxDepth   int      // search depth limit in steps
	hashBits   int      // log2 of the number of hash table slots
	memoryMB   int      // memory limit
}

// The default limits of a search.
const (
	defaultMaxDepth = 1_000_000
	defaultHashBits = 22
	defaultMemoryMB = 2048
)

// loadSearches reads the list of searches, one per section.
func loadSearches(path string) ([]search, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, errors.Wrap(err, "load list of searches")
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
		return nil, errors.Newf("%s lists no searches", path)
	}
	return out, nil
}

// newSearch returns the search that a section describes.
func newSearch(sec *ini.Section) (search, error) {
	s := search{
		name:       sec.Name(),
		model:      sec.Key("model").String(),
		kind:       kind(sec.Key("kind").In(string(safety), []string{string(safety), string(liveness)})),
		properties: sec.Key("property").Strings(","),
		mutant:     sec.Key("mutant").String(),
		defines:    sec.Key("define").Strings(","),
		maxDepth:   sec.Key("depth").MustInt(defaultMaxDepth),
		hashBits:   sec.Key("hash").MustInt(defaultHashBits),
		memoryMB:   sec.Key("memory").MustInt(defaultMemoryMB),
	}
	singleProperty := s.mutant != "" || s.kind == liveness
	switch {
	case s.model == "" || len(s.properties) == 0:
		return search{}, errors.Newf("%s: model and property are required", s.name)
	case singleProperty && len(s.properties) != 1:
		return search{}, errors.Newf("%s: a mutant or liveness search must name exactly one property", s.name)
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

// macros returns the options of spin that define the macros of the model.
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

// macroName converts a name from kebab case to that of a macro.
func macroName(name string) string {
	return strings.ToUpper(identifier(name))
}

// identifier converts a name from kebab case to a Promela identifier.
func identifier(name string) string {
	return strings.ReplaceAll(name, "-", "_")
}
