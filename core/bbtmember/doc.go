// Package bbtmember detects dead, frozen and unreachable peers with a gossip
// protocol of the SWIM type. Each host probes a few others, so that its cost
// does not grow with the size of the fleet.
package bbtmember
