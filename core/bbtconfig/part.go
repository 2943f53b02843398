package bbtconfig

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Part is a value in the configuration service other than the manifest: a key
// and an INI text with sections of zones, endpoints and contracts.
type Part struct {
	key  string
	data []byte
}

// NewPart returns a part. It retains data, which must not be modified
// afterwards.
func NewPart(key string, data []byte) Part { return Part{key: key, data: data} }

// Key returns the key of the part in the configuration service.
func (p Part) Key() string { return p.key }

// Data returns the text of the part, which must not be modified.
func (p Part) Data() []byte { return p.data }

// PartRef is the entry of a part in a manifest.
type PartRef struct {
	key    string
	digest uint64
	size   int
}

// NewPartRef returns the manifest entry of the part.
func NewPartRef(p Part) PartRef {
	return PartRef{key: p.key, digest: xxhash.Sum64(p.data), size: len(p.data)}
}

// Key returns the key of the part in the configuration service.
func (r PartRef) Key() string { return r.key }

// Digest returns the xxhash of the part.
func (r PartRef) Digest() uint64 { return r.digest }

// Size returns the size of the part in bytes.
func (r PartRef) Size() int { return r.size }

// Matches reports whether data has the size and digest of the entry.
func (r PartRef) Matches(data []byte) bool {
	return len(data) == r.size && xxhash.Sum64(data) == r.digest
}

// formatDigest formats a digest as 16 hexadecimal digits.
func formatDigest(d uint64) string { return fmt.Sprintf("%016x", d) }
