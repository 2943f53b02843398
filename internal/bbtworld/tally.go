package bbtworld

// Tally counts how the callers' attempts ended.
type Tally struct {
	Requests             int // requests offered
	Attempts             int // attempts of callers
	Responses            int // whole answers
	TicketRequired       int // refusals not-run that only hand out the first ticket
	NotRun               int // other refusals not-run
	MayHaveRun           int // refusals may-have-run
	MayHaveRunUnexecuted int // refusals may-have-run of requests that never ran until then
	FirstRefused         int // first attempts that got neither ticket nor answer
	CountedAttempts      int // attempts of callers that count them
	CountedMayHaveRun    int // refusals may-have-run of such attempts
	CountedUnexecuted    int // those of requests that never ran until then
}

// Add adds the counts of another run.
func (t *Tally) Add(o Tally) {
	t.Requests += o.Requests
	t.Attempts += o.Attempts
	t.Responses += o.Responses
	t.TicketRequired += o.TicketRequired
	t.NotRun += o.NotRun
	t.MayHaveRun += o.MayHaveRun
	t.MayHaveRunUnexecuted += o.MayHaveRunUnexecuted
	t.FirstRefused += o.FirstRefused
	t.CountedAttempts += o.CountedAttempts
	t.CountedMayHaveRun += o.CountedMayHaveRun
	t.CountedUnexecuted += o.CountedUnexecuted
}

// attempt counts an attempt of a caller.
func (t *Tally) attempt(r *request) {
	t.Attempts++
	if r.counted {
		t.CountedAttempts++
	}
}

// mayHaveRun counts a refusal may-have-run.
func (t *Tally) mayHaveRun(r *request) {
	t.MayHaveRun++
	if r.counted {
		t.CountedMayHaveRun++
	}
	if r.runs > 0 {
		return
	}
	t.MayHaveRunUnexecuted++
	if r.counted {
		t.CountedUnexecuted++
	}
}
