// Package bbtfleet holds the records that operators publish: hosts, zones,
// endpoints, contracts and the configuration they form.
package bbtfleet

// HostID names an entry host.
type HostID string

// ZoneID names an availability zone.
type ZoneID string

// EndpointID names a model engine or plain service.
type EndpointID string

// AccountID names a client account.
type AccountID string

// PoolID names a model or plain service; the endpoints of a pool can stand in
// for one another.
type PoolID string

// Revision orders the states of a published value. It starts at one; zero
// means none seen.
type Revision uint64

// Incarnation tells one run of a process or endpoint from the next. Later runs
// have larger numbers.
type Incarnation uint64
