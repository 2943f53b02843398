package bbtunit

import (
	"fmt"
	"strconv"
	"strings"
)

// Size is a number of bytes.
type Size int64

// The units of sizes.
const (
	Byte     Size = 1
	Kibibyte      = 1024 * Byte
	Mebibyte      = 1024 * Kibibyte
	Gibibyte      = 1024 * Mebibyte
)

// sizeUnit is a suffix with its size.
type sizeUnit struct {
	suffix string
	size   Size
}

// sizeUnits holds the suffixes in descending order of size.
var sizeUnits = [...]sizeUnit{
	{suffix: "GiB", size: Gibibyte},
	{suffix: "MiB", size: Mebibyte},
	{suffix: "KiB", size: Kibibyte},
	{suffix: "B", size: Byte},
}

// ParseSize parses a size from low to high, such as 64KiB.
func ParseSize(text string, low, high Size) (Size, error) {
	want := fmt.Sprintf("a size from %s to %s, such as 64KiB", FormatSize(low), FormatSize(high))
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(number, 10, 63)
		if err != nil {
			return 0, newError(text, "is not a whole number followed by B, KiB, MiB or GiB", want)
		}
		if n > uint64(high/u.size) || Size(n)*u.size < low {
			return 0, newError(text, "is out of range", want)
		}
		return Size(n) * u.size, nil
	}
	return 0, newError(text, "does not have the unit B, KiB, MiB or GiB", want)
}

// FormatSize formats a size so that ParseSize returns exactly the same value.
func FormatSize(n Size) string {
	for _, u := range sizeUnits {
		if n >= u.size && n%u.size == 0 {
			return fmt.Sprintf("%d%s", n/u.size, u.suffix)
		}
	}
	return fmt.Sprintf("%d%s", n, "B")
}
