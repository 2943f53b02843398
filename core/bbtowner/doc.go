// Package bbtowner places endpoints, client accounts and idempotency keys on
// the hosts of a view by rendezvous hashing.
package bbtowner
