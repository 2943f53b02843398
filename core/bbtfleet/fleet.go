// Package bbtfleet defines the types of the data that the platform publishes: its
// list of entry hosts and the configuration of availability zones, endpoints and
// contracts, which operators write in the project's own format.
//
// PoolID, Contract and Configuration correspond to Service, Account and Config of
// package bbtcatalog, which are used on a platform with a format of its own that
// package platform translates.
package bbtfleet

// HostID identifies an entry host.
type HostID string

// ZoneID identifies an availability zone.
type ZoneID string

// EndpointID identifies a model engine or plain service.
type EndpointID string

// AccountID identifies a client account.
type AccountID string

// PoolID identifies a model or plain service. The endpoints of a pool are
// interchangeable.
type PoolID string

// Revision is the revision number of a published value. It starts at one; zero
// means that no revision has been seen.
type Revision uint64

// Incarnation identifies one run of a process or endpoint. Later runs have
// larger numbers.
type Incarnation uint64
