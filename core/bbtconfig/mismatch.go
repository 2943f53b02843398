package bbtconfig

import "fmt"

// MismatchError says that a part is not the text the manifest names. It is no
// fault of the configuration: the part is older or newer than the manifest.
type MismatchError struct {
	key     string
	missing bool
}

// Key returns the part's key.
func (e *MismatchError) Key() string { return e.key }

// Missing reports whether the part was not there at all.
func (e *MismatchError) Missing() bool { return e.missing }

// Error names the part.
func (e *MismatchError) Error() string {
	if e.missing {
		return fmt.Sprintf("part %s is missing", e.key)
	}
	return fmt.Sprintf("part %s is not the text that the manifest names", e.key)
}
