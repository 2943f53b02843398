// Package bbtowner assigns endpoints, client accounts and idempotency keys to
// the hosts of a view by rendezvous hashing, and computes a host's right to an
// endpoint: how many of its slots the host may fill.
//
// The first host in an endpoint's hash order and its successors are the
// endpoint's ranks. Each rank has a fixed share of the slots. The best rank that
// has not given up the endpoint also has the shares of the ranks that have given
// it up, and of the worse ranks that answer its probes, because those do not use
// the endpoint. A rank has given up the endpoint while its host has announced
// that it leaves and the host's process still answers. No rank needs the consent
// of another to use its own share, and the shares in use never add up to more
// than the slots, whatever state the hosts assume of each other.
package bbtowner
