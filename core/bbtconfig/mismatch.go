package bbtconfig

import "fmt"

// MismatchError indicates that a part is missing or does not match its entry in
// the manifest. The configuration itself may be valid: the part may be older or
// newer than the manifest.
type MismatchError struct {
	key     string
	missing bool
}

// Key returns the key of the part.
func (e *MismatchError) Key() string { return e.key }

// Missing reports whether the part is missing.
func (e *MismatchError) Missing() bool { return e.missing }

// Error names the part and the kind of mismatch.
func (e *MismatchError) Error() string {
	if e.missing {
		return fmt.Sprintf("part %s is missing", e.key)
	}
	return fmt.Sprintf("part %s does not match its size and digest in the manifest", e.key)
}
