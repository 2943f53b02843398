package bbtfleet

import "fmt"

// Version orders configurations by the revision stated in their manifests. A
// manifest is a published value that lists the parts of a configuration. Two
// manifests with the same revision are ordered by their digests, so that all hosts
// choose the same one.
type Version struct {
	revision Revision
	digest   uint64
}

// NewVersion returns the version of a configuration whose manifest states the given
// revision and has the given digest.
func NewVersion(r Revision, digest uint64) Version {
	return Version{revision: r, digest: digest}
}

// Revision returns the revision stated in the manifest.
func (v Version) Revision() Revision { return v.revision }

// Digest returns the digest of the manifest's bytes.
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
