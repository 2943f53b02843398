package bbtroute

const (
	budgetPerRequest = 0.1  // repeats earned by each request submitted
	maxBudget        = 10.0 // repeats that may be saved up
)

// budget limits repeats to a share of the requests, so that failures do not
// multiply the load.
type budget struct {
	left float64
}

// earn adds the share of one request.
func (b *budget) earn() { b.left = min(maxBudget, b.left+budgetPerRequest) }

// spend takes one repeat and reports whether there was one.
func (b *budget) spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
