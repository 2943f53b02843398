package bbtfleet

// Tier is the priority of requests. One is the highest tier; zero means that none
// is set. The integer tiers of packages bbtcatalog and bbtschedule count from zero,
// their highest.
type Tier uint8

// LowestTier is the lowest priority, and so the largest tier number, that a
// contract may have.
const LowestTier Tier = 8

// Outranks reports whether t has a strictly higher priority than other.
func (t Tier) Outranks(other Tier) bool { return t < other }
