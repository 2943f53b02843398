// Package bbtowner places endpoints, client accounts and idempotency keys on
// the hosts of a view by rendezvous hashing, and says how many of an endpoint's
// slots a host may fill.
//
// The host first in an endpoint's hash order and its successors are the
// endpoint's ranks. Each has a share of the slots that is always its own; the
// best rank has the shares of those too that answer its probes and so leave the
// endpoint alone. No rank needs anybody's consent, and the shares in use add up
// to no more than the slots, whatever the hosts believe of each other.
package bbtowner
