package bbtview

import (
	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
)

// ManifestKey is the key of the manifest in the configuration service.
const ManifestKey = "manifest"

// Hash returns the content digest of a published value.
func Hash(data []byte) uint64 { return xxhash.Sum64(data) }

// Part names one value of a split configuration.
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

// Manifest names a revision of the configuration and the parts it is made of.
type Manifest struct {
	version bbtfleet.Version
	parts   []Part
	data    []byte
}

// NewManifest returns a manifest of the given revision. It keeps parts, which
// must not change afterwards. The Keeper completes the version by the Hash of
// the manifest's bytes.
func NewManifest(r bbtfleet.Revision, parts ...Part) Manifest {
	return Manifest{version: bbtfleet.NewVersion(r, 0), parts: parts}
}

// Version returns the revision and the content digest. A Parse function gives
// it to the configuration it makes.
func (m Manifest) Version() bbtfleet.Version { return m.version }

// Parts returns the parts in the manifest's order; they must not be changed.
func (m Manifest) Parts() []Part { return m.parts }

// Data returns the manifest's bytes, which must not be changed. They are there
// for a Parse function, which may be called for another manifest than the one
// that was parsed last.
func (m Manifest) Data() []byte { return m.data }

// complete returns the manifest with its own bytes and their digest.
func (m Manifest) complete(data []byte) Manifest {
	m.data = data
	m.version = bbtfleet.NewVersion(m.version.Revision(), Hash(data))
	return m
}

// ParseManifest reads a manifest's bytes.
type ParseManifest func(data []byte) (Manifest, error)

// ParseConfiguration makes a configuration of version m.Version from the parts' contents,
// which stand in the order of m.Parts. An error refuses the whole version.
type ParseConfiguration func(m Manifest, parts [][]byte) (*bbtfleet.Configuration, error)
