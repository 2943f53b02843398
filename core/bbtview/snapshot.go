package bbtview

import (
	"slices"

	"bluebelltray/core/bbtfleet"
)

// snapshot is the published form of one whole configuration.
type snapshot struct {
	version  bbtfleet.Version
	manifest []byte
	digests  []uint64 // of the parts, in the manifest's order
	parts    map[uint64][]byte
	packed   map[uint64][]byte // compressed parts, as far as peers have asked
}

// lacking returns the compressed contents of the parts that have does not name.
func (s snapshot) lacking(have []uint64) [][]byte {
	var out [][]byte
	for i, d := range s.digests {
		if slices.Contains(have, d) || slices.Contains(s.digests[:i], d) {
			continue
		}
		if s.packed[d] == nil {
			s.packed[d] = pack(s.parts[d])
		}
		out = append(out, s.packed[d])
	}
	return out
}
