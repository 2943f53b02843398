package bbtview

import (
	"slices"

	"bluebelltray/core/bbtfleet"
)

// snapshot is the published form of a complete configuration.
type snapshot struct {
	version    bbtfleet.Version
	manifest   []byte
	digests    []uint64 // content hashes of the parts, in the manifest's order
	parts      map[uint64][]byte
	compressed map[uint64][]byte // compressed parts, received from peers or made when a peer first needs one
}

// missingParts returns the compressed contents of the parts whose content hashes
// are not in have.
func (s snapshot) missingParts(have []uint64) [][]byte {
	var out [][]byte
	for i, d := range s.digests {
		if slices.Contains(have, d) || slices.Contains(s.digests[:i], d) {
			continue
		}
		if s.compressed[d] == nil {
			s.compressed[d] = compress(s.parts[d])
		}
		out = append(out, s.compressed[d])
	}
	return out
}
