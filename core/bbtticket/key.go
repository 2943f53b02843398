package bbtticket

import (
	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
)

// KeyDigest is a hash of an idempotency key and its client account. Zero means
// that the request has no key.
type KeyDigest uint64

// Digest returns the digest of an account's idempotency key, or zero if the
// key is empty. A hash of zero becomes one, as zero stands for no key.
func Digest(account bbtfleet.AccountID, key string) KeyDigest {
	if key == "" {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(account))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return max(KeyDigest(d.Sum64()), 1)
}
