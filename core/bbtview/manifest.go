package bbtview

import (
	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
)

// ManifestKey is the key of the manifest in the configuration service.
const ManifestKey = "manifest"

// Hash returns the content hash of a published value.
func Hash(data []byte) uint64 { return xxhash.Sum64(data) }

// Part identifies one of the values that a configuration is split into.
type Part struct {
	key    string
	digest uint64
	size   int
}

// NewPart returns the part stored under key, with the Hash and the size in
// bytes of its content.
func NewPart(key string, digest uint64, size int) Part {
	return Part{key: key, digest: digest, size: size}
}

// Key returns the part's key in the configuration service.
func (p Part) Key() string { return p.key }

// Digest returns the Hash of the part's content.
func (p Part) Digest() uint64 { return p.digest }

// Size returns the length of the part's content in bytes.
func (p Part) Size() int { return p.size }

// matches reports whether data is the part's content.
func (p Part) matches(data []byte) bool {
	return len(data) == p.size && Hash(data) == p.digest
}

// Manifest identifies a revision of the configuration and the parts that it
// consists of.
type Manifest struct {
	version bbtfleet.Version
	parts   []Part
	data    []byte
}

// NewManifest returns a manifest with the given revision. It shares the slice
// parts, which must not be modified afterwards. The View sets the digest of the
// version to the Hash of the manifest's bytes.
func NewManifest(r bbtfleet.Revision, parts ...Part) Manifest {
	return Manifest{version: bbtfleet.NewVersion(r, 0), parts: parts}
}

// Version returns the revision and the content hash. A ParseConfiguration
// function must return a configuration with this version.
func (m Manifest) Version() bbtfleet.Version { return m.version }

// Parts returns the parts in the manifest's order. The slice must not be
// modified.
func (m Manifest) Parts() []Part { return m.parts }

// Data returns the manifest's bytes, which must not be modified. With them, a
// ParseConfiguration function need not keep state from ParseManifest, which may
// have parsed another manifest since.
func (m Manifest) Data() []byte { return m.data }

// withData returns the manifest with the given bytes and their content hash.
func (m Manifest) withData(data []byte) Manifest {
	m.data = data
	m.version = bbtfleet.NewVersion(m.version.Revision(), Hash(data))
	return m
}

// ParseManifest parses a manifest's bytes.
type ParseManifest func(data []byte) (Manifest, error)

// ParseConfiguration parses the parts' contents, given in the order of m.Parts,
// into a configuration with the version m.Version. The version is refused as a
// whole if it returns an error.
type ParseConfiguration func(m Manifest, parts [][]byte) (*bbtfleet.Configuration, error)
