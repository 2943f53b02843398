package bbtcatalog

import "cmp"

// Position is a place in the sequence of the platform's changes. A new era begins
// when the platform returns with an older copy of its state: what was published
// since is gone, and the copy's next revisions were given out before. Revisions of
// different eras say nothing about each other.
type Position struct {
	Era      uint64 // 0 if the platform names none
	Revision uint64
}

// Compare orders positions by era, then by revision.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Before reports whether p is before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// laterPosition returns the later of two positions.
func laterPosition(p, o Position) Position {
	if p.Before(o) {
		return o
	}
	return p
}
