package bbtworld

// Tally counts the outcomes of the callers' attempts.
type Tally struct {
	Requests             int // requests added
	Attempts             int // attempts by callers
	Responses            int // complete responses
	TicketRequired       int // not-run refusals that only issue a ticket
	NotRun               int // other not-run refusals
	MayHaveRun           int // may-have-run refusals
	MayHaveRunUnexecuted int // may-have-run refusals of requests that had not run by then
	FirstRefused         int // requests whose first refusal carried no ticket
	CountedAttempts      int // attempts by callers that count their attempts
	CountedMayHaveRun    int // may-have-run refusals of these attempts
	CountedUnexecuted    int // these refusals of requests that had not run by then
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

// countAttempt counts one attempt by a caller.
func (t *Tally) countAttempt(r *request) {
	t.Attempts++
	if r.countsAttempts {
		t.CountedAttempts++
	}
}

// countMayHaveRun counts a may-have-run refusal.
func (t *Tally) countMayHaveRun(r *request) {
	t.MayHaveRun++
	if r.countsAttempts {
		t.CountedMayHaveRun++
	}
	if r.runs > 0 {
		return
	}
	t.MayHaveRunUnexecuted++
	if r.countsAttempts {
		t.CountedUnexecuted++
	}
}
