package bbtschedule

// Notice is a change of what the scheduler believes about endpoints or requests,
// for logs and counters.
type Notice interface{ notice() }

// EndpointCrashed reports that an endpoint has probably crashed, since the
// connections of most of its runs were lost together.
type EndpointCrashed struct {
	Endpoint string
	Running  int       // runs at the first loss
	Lost     int       // of these, connections lost
	Waiting  []Waiting // those among them that had no first event
}

// Waiting is a run that has no first event yet.
type Waiting struct {
	Attempt int           `json:"attempt"`
	Blocks  []PromptBlock `json:"blocks"`
}

func (EndpointCrashed) notice() {}

// TakeNotices returns the notices since the last call.
func (s *Scheduler) TakeNotices() []Notice {
	out := s.notices
	s.notices = nil
	return out
}

// Quarantined reports that requests with all of the traits are refused from now on.
type Quarantined struct {
	Blocks      []uint64 // of the prompt
	Fingerprint uint64   // of a whole request; 0 if there is none
	Endpoints   []string // that crashed
	Times       int      // that the same was quarantined
}

// QuarantineLifted reports that a quarantine has ended, since a request that it
// covered was answered or an endpoint has not crashed.
type QuarantineLifted struct {
	Endpoints []string // that were taken for crashed by it
}

func (Quarantined) notice()      {}
func (QuarantineLifted) notice() {}

// noticeQuarantined gives notice of quarantines that begin.
func (s *Scheduler) noticeQuarantined(begun []*quarantine) {
	for _, q := range begun {
		n := Quarantined{Endpoints: q.endpoints(), Times: q.times}
		for _, t := range q.traits {
			if t.fingerprint {
				n.Fingerprint = t.id
				continue
			}
			n.Blocks = append(n.Blocks, t.id)
		}
		s.notices = append(s.notices, n)
	}
}

// noticeLifted gives notice of quarantines that end.
func (s *Scheduler) noticeLifted(lifted []*quarantine) {
	for _, q := range lifted {
		s.notices = append(s.notices, QuarantineLifted{Endpoints: q.endpoints()})
	}
}

// EndpointLimited reports that an endpoint states another limit, or none any longer.
type EndpointLimited struct {
	Endpoint      string
	Before, Limit StatedLimit
}

func (EndpointLimited) notice() {}
