package bbtgrant

import "slices"

const maxPrefixes = 64

// prefixes is the list of prompt prefixes that an endpoint's cache probably
// contains, the most recently used last.
type prefixes struct {
	recent []uint64
}

// markUsed adds a prefix or moves it to the end of the list.
func (p *prefixes) markUsed(prefix uint64) {
	if prefix == 0 {
		return
	}
	if i := slices.Index(p.recent, prefix); i >= 0 {
		p.recent = slices.Delete(p.recent, i, i+1)
	}
	p.recent = append(p.recent, prefix)
	if len(p.recent) > maxPrefixes {
		p.recent = slices.Delete(p.recent, 0, 1)
	}
}

// drop removes a prefix.
func (p *prefixes) drop(prefix uint64) {
	p.recent = slices.DeleteFunc(p.recent, func(x uint64) bool { return x == prefix })
}

// contains reports whether the cache probably contains the prefix.
func (p *prefixes) contains(prefix uint64) bool {
	return prefix != 0 && slices.Contains(p.recent, prefix)
}
