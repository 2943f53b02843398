package bbtunit

import (
	"slices"
	"strings"
)

// ParseEnum returns text if it is one of the words.
func ParseEnum(text string, words ...string) (string, error) {
	if slices.Contains(words, text) {
		return text, nil
	}
	last := len(words) - 1
	want := strings.Join(words[:last], ", ") + " or " + words[last]
	return "", newError(text, "is not a known word", want)
}
