// Package bbtowner places endpoints, client accounts and idempotency keys on
// the hosts of a view by rendezvous hashing, and keeps at most one host at a
// time the owner of an endpoint.
//
// The host first in an endpoint's hash order and its successors are the
// endpoint's electors. One of them owns the endpoint while a majority of them,
// itself included, has promised it not to support another one. Promises are
// held in memory and run out by themselves.
package bbtowner
