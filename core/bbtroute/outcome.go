package bbtroute

import "bluebelltray/core/bbtgrant"

// Outcome is how a dispatch ended and the number of tokens it generated.
type Outcome struct {
	Kind         bbtgrant.Outcome
	OutputTokens int
}
