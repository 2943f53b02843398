package bbtfleet

import "fmt"

// Version orders configurations by revision. Two configurations published under
// the same revision are ordered by their digests, so that all hosts choose the
// same one.
type Version struct {
	revision Revision
	digest   uint64
}

// NewVersion returns the version of a configuration with the given manifest
// revision and content digest.
func NewVersion(r Revision, digest uint64) Version {
	return Version{revision: r, digest: digest}
}

// Revision returns the manifest revision.
func (v Version) Revision() Revision { return v.revision }

// Digest returns the content digest.
func (v Version) Digest() uint64 { return v.digest }

// Newer reports whether v is newer than other, so that it replaces other.
func (v Version) Newer(other Version) bool {
	if v.revision != other.revision {
		return v.revision > other.revision
	}
	return v.digest > other.digest
}

// String returns the revision and the upper half of the digest in hexadecimal.
func (v Version) String() string {
	return fmt.Sprintf("%d-%08x", v.revision, v.digest>>32)
}
