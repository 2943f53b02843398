// Package bbtsuspect ensures that a single request crashes at most two
// endpoints, even if its caller sends it again through other hosts. During a
// partition that a coordinator has not detected yet, a request may crash one
// more.
package bbtsuspect

import (
	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies equal requests of one client account.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request of an account.
func NewFingerprint(account bbtfleet.AccountID, path string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(account))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(path)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}
