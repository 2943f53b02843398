package bbtview

import "bluebelltray/core/bbtfleet"

// snapshot is the published form of one whole configuration.
type snapshot struct {
	version  bbtfleet.Version
	manifest []byte
	digests  []uint64 // of the parts, in the manifest's order
	parts    map[uint64][]byte
}

// lacking returns the contents of the parts that have does not name.
func (s snapshot) lacking(have []uint64) [][]byte {
	known := make(map[uint64]bool, len(have))
	for _, d := range have {
		known[d] = true
	}
	var out [][]byte
	for _, d := range s.digests {
		if !known[d] {
			known[d] = true
			out = append(out, s.parts[d])
		}
	}
	return out
}
