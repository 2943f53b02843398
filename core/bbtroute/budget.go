package bbtroute

const (
	budgetPerRequest = 0.1  // retries earned by each submitted request
	maxBudget        = 10.0 // retries that may accumulate
)

// budget limits retries to a fraction of the requests, so that failures do not
// multiply the load.
type budget struct {
	left float64
}

// earn adds the retries that one submitted request earns.
func (b *budget) earn() { b.left = min(maxBudget, b.left+budgetPerRequest) }

// spend uses one retry and reports whether one was available.
func (b *budget) spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
