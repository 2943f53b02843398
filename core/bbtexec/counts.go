package bbtexec

// Counts are the messages and answers that the executor dropped since its
// start.
type Counts struct {
	staleReplies uint64
	staleAnswers uint64
	lostReplies  uint64
}

// StaleReplies returns how many replies of peers came late, doubled, crossed
// or for a former process of this host.
func (c Counts) StaleReplies() uint64 { return c.staleReplies }

// DroppedReplies returns how many replies to peers could not be sent for a minute
// or gave way to others.
func (c Counts) DroppedReplies() uint64 { return c.lostReplies }

// StaleResponses returns how many answers of endpoints came from a former
// dispatch or for a call that is over.
func (c Counts) StaleResponses() uint64 { return c.staleAnswers }
