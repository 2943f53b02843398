package bbtgrant

const (
	initialRatio = 0.7  // of the tokens allowed, before anything is learnt
	ratioStep    = 0.01 // by which the estimate moves
	ratioPercent = 90   // of answers that are no longer than expected
)

// lengths learns which part of the tokens a caller allows its answer takes, as
// a quantile.
type lengths struct {
	ratio float64
}

func newLengths() lengths { return lengths{ratio: initialRatio} }

// expect returns the tokens an answer is expected to have.
func (l *lengths) expect(allowed int) float64 { return l.ratio * float64(allowed) }

// learn takes an answer's length in.
func (l *lengths) learn(allowed, output int) {
	if allowed <= 0 {
		return
	}
	if float64(output) > l.expect(allowed) {
		l.ratio = min(1, l.ratio+ratioStep*ratioPercent/100)
	} else {
		l.ratio = max(ratioStep, l.ratio-ratioStep*(100-ratioPercent)/100)
	}
}
