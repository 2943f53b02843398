package bbtowner

import (
	"encoding/binary"

	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
)

// hashedHost is a host with the hash of its ID.
type hashedHost struct {
	host bbtfleet.Host
	hash uint64
}

// score returns the rendezvous score of the host for the endpoint, account or
// idempotency key with the given hash.
func (h hashedHost) score(hash uint64) uint64 { return combine(h.hash, hash) }

// combine hashes two numbers into one.
func combine(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[0:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// endpointHash returns the hash of an endpoint ID for rendezvous hashing.
func endpointHash(id bbtfleet.EndpointID) uint64 {
	return xxhash.Sum64String("endpoint/" + string(id))
}

// accountHash returns the hash of a client account ID for rendezvous hashing.
func accountHash(id bbtfleet.AccountID) uint64 {
	return xxhash.Sum64String("account/" + string(id))
}

// keyHash returns the hash of an idempotency key for rendezvous hashing. The
// account and the key are hashed separately, so that no two pairs hash the same
// input.
func keyHash(id bbtfleet.AccountID, key string) uint64 {
	return combine(xxhash.Sum64String("key/"+string(id)), xxhash.Sum64String(key))
}
