package bbtdaemon

import (
	"encoding/binary"

	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
)

// keyHome returns the host that rendezvous hashing selects for a key. Equal
// scores go to the smaller host ID.
func keyHome(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID {
	var best bbtfleet.HostID
	var bestScore uint64
	for _, h := range hosts {
		input := binary.BigEndian.AppendUint64([]byte(h), key)
		score := xxhash.Sum64(input)
		if best == "" || score > bestScore || score == bestScore && h < best {
			best, bestScore = h, score
		}
	}
	return best
}
