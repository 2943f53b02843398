package bbtdaemon

import (
	"encoding/binary"

	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
)

// keyHome returns the host that rendezvous hashing names for a key.
func keyHome(hosts []bbtfleet.HostID, key uint64) bbtfleet.HostID {
	var best bbtfleet.HostID
	var top uint64
	for _, h := range hosts {
		text := binary.BigEndian.AppendUint64([]byte(h), key)
		score := xxhash.Sum64(text)
		if best == "" || score > top || score == top && h < best {
			best, top = h, score
		}
	}
	return best
}
