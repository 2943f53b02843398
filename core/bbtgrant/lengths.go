package bbtgrant

const (
	initialRatio    = 0.7  // of the tokens allowed, before the first answer
	ratioStep       = 0.01 // change of the estimate per answer, scaled by the percentile
	ratioPercentile = 90   // percentile of answer lengths that is estimated
)

// lengths estimates a percentile of the ratio between the tokens of an answer
// and the tokens that its caller allows.
type lengths struct {
	ratio float64
}

func newLengths() lengths { return lengths{ratio: initialRatio} }

// estimate returns the number of tokens that ratioPercentile percent of the
// answers are estimated not to exceed.
func (l *lengths) estimate(allowed int) float64 { return l.ratio * float64(allowed) }

// learn updates the estimate with an answer's length.
func (l *lengths) learn(allowed, output int) {
	if allowed <= 0 {
		return
	}
	if float64(output) > l.estimate(allowed) {
		l.ratio = min(1, l.ratio+ratioStep*ratioPercentile/100)
	} else {
		l.ratio = max(ratioStep, l.ratio-ratioStep*(100-ratioPercentile)/100)
	}
}
