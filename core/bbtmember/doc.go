// Package bbtmember detects dead, frozen and unreachable peers by sampled
// probes, at a cost a host that does not grow with the fleet.
package bbtmember
