package bbtcatalog

import "time"

// Bounds are the operators' bounds that hold over all hosts together.
type Bounds struct {
	Contact     time.Duration // undisturbed time after which a host answers for its view
	Drain       time.Duration // from an endpoint's leaving to its last request
	Grace       time.Duration // from the stop signal to the kill
	ApplyTime   time.Duration // from a configuration's acknowledgement to its being in force
	RetryRatio  float64       // repeats, as a part of requests
	RetryWindow time.Duration // over which repeats are counted
	RetrySlack  float64       // repeats beyond the ratio
	RateWindow  time.Duration // over which use of an account's rate is counted
	RateOver    float64       // part of the rate by which use may exceed it
	RateSlack   float64       // units beyond that
	ColdOver    float64       // factor of a cold endpoint's rate within one second
	ColdSlack   float64       // requests beyond that
	Lifetime    time.Duration // longest lifetime of an address answer
}
