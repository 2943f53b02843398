package bbtfleet

// Tier ranks requests. One is the highest tier; zero is no tier.
type Tier uint8

// LowestTier is the largest tier number a contract may name.
const LowestTier Tier = 8

// Outranks reports whether t is a strictly higher tier than other.
func (t Tier) Outranks(other Tier) bool { return t < other }
