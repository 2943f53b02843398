package bbtworld

// Tally counts how the callers' attempts ended.
type Tally struct {
	Requests     int // requests offered
	Attempts     int // attempts of callers
	Answers      int // whole answers
	Tickets      int // refusals not-run that only hand out the first ticket
	NotRun       int // other refusals not-run
	MayHaveRun   int // refusals may-have-run
	Unneeded     int // refusals may-have-run of requests that never ran until then
	FirstRefused int // first attempts that got neither ticket nor answer
	Counted      int // attempts of callers that count them
	CountedMay   int // refusals may-have-run of such attempts
	CountedNever int // those of requests that never ran until then
}

// Add adds the counts of another run.
func (t *Tally) Add(o Tally) {
	t.Requests += o.Requests
	t.Attempts += o.Attempts
	t.Answers += o.Answers
	t.Tickets += o.Tickets
	t.NotRun += o.NotRun
	t.MayHaveRun += o.MayHaveRun
	t.Unneeded += o.Unneeded
	t.FirstRefused += o.FirstRefused
	t.Counted += o.Counted
	t.CountedMay += o.CountedMay
	t.CountedNever += o.CountedNever
}

// attempt counts an attempt of a caller.
func (t *Tally) attempt(r *request) {
	t.Attempts++
	if r.counted {
		t.Counted++
	}
}

// mayHaveRun counts a refusal may-have-run.
func (t *Tally) mayHaveRun(r *request) {
	t.MayHaveRun++
	if r.counted {
		t.CountedMay++
	}
	if r.runs > 0 {
		return
	}
	t.Unneeded++
	if r.counted {
		t.CountedNever++
	}
}
