package bbtcatalog

import "time"

// Bounds are the service-level limits set by operators, across all hosts.
type Bounds struct {
	Contact     time.Duration // maximum time from the end of all faults until a host's view is up to date; not enforced
	Drain       time.Duration // from an endpoint's removal to its last request
	Grace       time.Duration // from the stop signal to the kill signal
	ApplyTime   time.Duration // from when the platform confirms a configuration to the operator until it is in force
	RetryRatio  float64       // retries as a fraction of requests
	RetryWindow time.Duration // over which retries are counted
	RetrySlack  float64       // retries allowed beyond the ratio
	RateWindow  time.Duration // over which use of an account's rate limit is counted
	RateOver    float64       // fraction by which use may exceed the rate limit: 0.25 allows 125%
	RateSlack   float64       // tokens allowed beyond that; converted for a rate in requests
	ColdOver    float64       // requests allowed to a cold endpoint within one second, as a multiple of its rate: 1.5 allows 150%; checked by tests only
	ColdSlack   float64       // requests allowed beyond that; checked by tests only
	Heartbeat   time.Duration // between two writes of an endpoint's entry; 0 if unknown
	Lifetime    time.Duration // maximum lifetime of an address lookup result
}
