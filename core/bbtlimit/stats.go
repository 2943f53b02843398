package bbtlimit

// Stats holds the counters of a Limiter.
type Stats struct {
	Admitted                uint64 // requests admitted
	Refused                 uint64 // requests refused
	CreditRequests          uint64 // credit requests sent
	Grants                  uint64 // grants received for pending credit requests
	DroppedGrants           uint64 // grants dropped as late, duplicated or never requested
	CreditRequestsThrottled uint64 // credit requests not sent because the budget of the host was used up
}
