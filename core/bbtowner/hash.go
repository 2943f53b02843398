package bbtowner

import (
	"encoding/binary"

	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
)

// zoneWeight is how much likelier a host of an endpoint's own availability
// zone owns the endpoint than a host of another zone.
const zoneWeight = 4

// bucket is a host with the hash of its name.
type bucket struct {
	host bbtfleet.Host
	hash uint64
}

// score returns the host's rendezvous score for a key.
func (b bucket) score(key uint64) uint64 { return combine(b.hash, key, 0) }

// near returns the host's score for a key of the zone. The largest of
// zoneWeight scores makes a host of that zone so much likelier to be first.
func (b bucket) near(key uint64, zone bbtfleet.ZoneID) uint64 {
	best := b.score(key)
	if b.host.Zone() != zone {
		return best
	}
	for draw := uint64(1); draw < zoneWeight; draw++ {
		best = max(best, combine(b.hash, key, draw))
	}
	return best
}

// combine hashes three numbers into one.
func combine(host, key, draw uint64) uint64 {
	var buf [24]byte
	binary.LittleEndian.PutUint64(buf[0:], host)
	binary.LittleEndian.PutUint64(buf[8:], key)
	binary.LittleEndian.PutUint64(buf[16:], draw)
	return xxhash.Sum64(buf[:])
}

// endpointHash returns the key of an endpoint.
func endpointHash(id bbtfleet.EndpointID) uint64 {
	return xxhash.Sum64String("endpoint/" + string(id))
}

// accountHash returns the key of a client account.
func accountHash(id bbtfleet.AccountID) uint64 {
	return xxhash.Sum64String("account/" + string(id))
}

// keyHash returns the key of an account's idempotency key. Its parts are hashed
// apart, so that no two pairs share a text.
func keyHash(id bbtfleet.AccountID, key string) uint64 {
	return combine(xxhash.Sum64String("key/"+string(id)), xxhash.Sum64String(key), 0)
}
