package bbtconfig

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
	"bluebelltray/core/bbtunit"
)

// ManifestKey is the key of the manifest in the configuration service.
const ManifestKey = "manifest"

// MaxPartSize is the maximum size of a value in the configuration service.
const MaxPartSize = 1_000_000 * bbtunit.Byte

// digestDigits is the number of hexadecimal digits of a digest.
const digestDigits = 16

// Manifest holds the revision of a configuration and the list of its parts.
type Manifest struct {
	version bbtfleet.Version
	parts   []PartRef
}

// Version returns the revision and the digest of the manifest text, which
// covers the digests of all parts.
func (m Manifest) Version() bbtfleet.Version { return m.version }

// Revision returns the revision of the manifest.
func (m Manifest) Revision() bbtfleet.Revision { return m.version.Revision() }

// Parts returns the parts in the order of the manifest. The slice must not be
// modified.
func (m Manifest) Parts() []PartRef { return m.parts }

// ParseManifest parses a manifest. The error is a *bbtini.Error with all
// problems.
func ParseManifest(data []byte) (Manifest, error) { return ParseManifestFile(ManifestKey, data) }

// ParseManifestFile parses a manifest and reports problems under the given file
// name.
func ParseManifestFile(file string, data []byte) (Manifest, error) {
	var r bbtini.Report
	p := manifestParser{seen: make(map[string]int)}
	for s := range bbtini.Sections(file, data, &r) {
		p.parseSection(s)
	}
	if p.line == 0 {
		r.Add(bbtini.NewProblem(file, 0, "has no revision", bbtini.WithWant("a section [manifest] with the key revision")))
	}
	if len(p.parts) == 0 {
		r.Add(bbtini.NewProblem(file, 0, "lists no parts", bbtini.WithWant("a section [part KEY] for each part")))
	}
	if err := r.Err(); err != nil {
		return Manifest{}, err
	}
	return Manifest{version: bbtfleet.NewVersion(p.revision, xxhash.Sum64(data)), parts: p.parts}, nil
}

// manifestParser collects the sections of a manifest.
type manifestParser struct {
	line     int // line of the section [manifest], zero before it is parsed
	revision bbtfleet.Revision
	parts    []PartRef
	seen     map[string]int // line of the section of each part
}

// parseSection parses a section of either kind.
func (p *manifestParser) parseSection(s *bbtini.Section) {
	switch {
	case s.Kind() == "manifest" && s.Name() == "":
		p.parseManifest(s)
	case s.Kind() == "part" && s.Name() != "":
		p.parsePartRef(s)
	default:
		s.ReportProblem("unknown section", bbtini.WithWant("[manifest] or [part KEY]"))
	}
}

// parseManifest parses the section [manifest].
func (p *manifestParser) parseManifest(s *bbtini.Section) {
	if p.line > 0 {
		s.ReportProblem("section is defined twice", bbtini.WithWant("one section [manifest], as on line "+strconv.Itoa(p.line)))
	}
	p.line = s.Line()
	p.revision, _ = bbtini.Require(s, "revision", parseRevision)
	s.ReportUnknownKeys()
}

// parsePartRef parses a section [part KEY].
func (p *manifestParser) parsePartRef(s *bbtini.Section) {
	if first := p.seen[s.Name()]; first > 0 {
		s.ReportProblem("part is listed twice", bbtini.WithWant("one section for each part; the first is on line "+strconv.Itoa(first)))
	}
	if s.Name() == ManifestKey {
		s.ReportProblem("part has the manifest's own key", bbtini.WithWant("another key"))
	}
	p.seen[s.Name()] = s.Line()
	digest, _ := bbtini.Require(s, "digest", parseDigest)
	size, _ := bbtini.Require(s, "size", parsePartSize)
	s.ReportUnknownKeys()
	p.parts = append(p.parts, PartRef{key: s.Name(), digest: digest, size: int(size)})
}

// parseRevision parses the revision of a manifest.
func parseRevision(text string) (bbtfleet.Revision, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, bbtunit.NewError(text, "is not a revision", "a whole number from 1 that grows with each publication")
	}
	return bbtfleet.Revision(n), nil
}

// parseDigest parses the xxhash of a part.
func parseDigest(text string) (uint64, error) {
	d, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != digestDigits || strings.ToLower(text) != text {
		return 0, bbtunit.NewError(text, "is not a digest", "the part's xxhash as 16 lower case hexadecimal digits")
	}
	return d, nil
}

// parsePartSize parses the size of a part.
func parsePartSize(text string) (bbtunit.Size, error) {
	return bbtunit.ParseSize(text, bbtunit.Byte, MaxPartSize)
}
