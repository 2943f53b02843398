package bbtowner

import (
	"encoding/binary"

	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
)

// hashedHost is a host with the hash of its name.
type hashedHost struct {
	host bbtfleet.Host
	hash uint64
}

// score returns the host's rendezvous score for a key.
func (b hashedHost) score(key uint64) uint64 { return combine(b.hash, key) }

// combine hashes two numbers into one.
func combine(host, key uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[0:], host)
	binary.LittleEndian.PutUint64(buf[8:], key)
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
	return combine(xxhash.Sum64String("key/"+string(id)), xxhash.Sum64String(key))
}
