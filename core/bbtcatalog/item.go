package bbtcatalog

import "time"

// item holds the latest known change of a published item.
type item struct {
	change      Change
	position    Position  // of the change
	receivedAt  time.Time // when this host received the change
	effectiveAt time.Time // when the change takes effect; zero for at once
	unlisted    bool      // nobody reported the removal: the first state of an era lacks the item
}

// exists reports whether the item is in use: it is published, or its removal has not
// taken effect yet.
func (it item) exists(now time.Time) bool { return it.change.Removed == now.Before(it.effectiveAt) }
