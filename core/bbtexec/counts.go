package bbtexec

// Counts holds the numbers of messages that the executor dropped and of outcomes
// that it ignored since its start.
type Counts struct {
	staleReplies   uint64
	staleOutcomes  uint64
	droppedReplies uint64
}

// StaleReplies returns how many replies of peers were late, duplicated, from
// the wrong peer, or meant for a previous process of this host.
func (c Counts) StaleReplies() uint64 { return c.staleReplies }

// DroppedReplies returns how many replies to peers were dropped because they
// could not be sent within a minute, or because too many were queued.
func (c Counts) DroppedReplies() uint64 { return c.droppedReplies }

// StaleOutcomes returns how many outcomes reported for dispatches were ignored
// because the dispatch was not the current one or its call had ended.
func (c Counts) StaleOutcomes() uint64 { return c.staleOutcomes }
