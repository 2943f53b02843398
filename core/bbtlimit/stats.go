package bbtlimit

// Stats counts what a Limiter did.
type Stats struct {
	Admitted                uint64 // requests admitted
	Refused                 uint64 // requests refused
	CreditRequests          uint64 // asks sent
	Grants                  uint64 // grants received in time
	DroppedGrants           uint64 // grants dropped as late, repeated or never asked for
	CreditRequestsThrottled uint64 // asks not sent, as the host's budget of asks was spent
}
