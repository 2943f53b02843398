package bbtini

import (
	"strings"

	"bluebelltray/core/bbtunit"
)

// MaxNameLength is the maximum length of the name of a section or item, in
// bytes.
const MaxNameLength = 64

// IsName reports whether name is valid for an item: 1 to MaxNameLength letters,
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

// ParseName parses the name of an item. The result is a copy that does not
// retain the memory of text.
func ParseName(text string) (string, error) {
	if !IsName(text) {
		return "", bbtunit.NewError(text, "is not a valid name", "1 to 64 letters, digits, dots, dashes and underscores")
	}
	return strings.Clone(text), nil
}
