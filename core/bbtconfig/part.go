package bbtconfig

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Part is one value of the configuration service besides the manifest: a key
// and INI text with sections of zones, endpoints and contracts.
type Part struct {
	key  string
	data []byte
}

// NewPart returns a part. It keeps data, which must not change afterwards.
func NewPart(key string, data []byte) Part { return Part{key: key, data: data} }

// Key returns the part's key in the configuration service.
func (p Part) Key() string { return p.key }

// Data returns the part's text, which must not be changed.
func (p Part) Data() []byte { return p.data }

// PartRef is a manifest's record of a part.
type PartRef struct {
	key    string
	digest uint64
	size   int
}

// NewPartRef returns the record that a manifest holds of the part.
func NewPartRef(p Part) PartRef {
	return PartRef{key: p.key, digest: xxhash.Sum64(p.data), size: len(p.data)}
}

// Key returns the part's key in the configuration service.
func (r PartRef) Key() string { return r.key }

// Digest returns the xxhash of the part's text.
func (r PartRef) Digest() uint64 { return r.digest }

// Size returns the length of the part's text in bytes.
func (r PartRef) Size() int { return r.size }

// Matches reports whether data is the text that the manifest names.
func (r PartRef) Matches(data []byte) bool {
	return len(data) == r.size && xxhash.Sum64(data) == r.digest
}

// formatDigest returns a digest as sixteen hexadecimal digits.
func formatDigest(d uint64) string { return fmt.Sprintf("%016x", d) }
