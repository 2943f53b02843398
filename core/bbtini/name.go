package bbtini

import (
	"strings"

	"bluebelltray/core/bbtunit"
)

// MaxNameLength is the maximum length of a name in a section header or a value,
// in bytes.
const MaxNameLength = 64

// IsName reports whether name is a valid name: 1 to MaxNameLength letters,
// digits, dots, dashes and underscores.
func IsName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	for _, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && !strings.ContainsRune("._-", rune(c)) {
			return false
		}
	}
	return true
}

// ParseName parses a value that is a name. The result is a copy that does not
// retain the memory of text.
func ParseName(text string) (string, error) {
	if !IsName(text) {
		return "", bbtunit.NewError(text, "is not a valid name", "1 to 64 letters, digits, dots, dashes and underscores")
	}
	return strings.Clone(text), nil
}
