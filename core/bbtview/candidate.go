package bbtview

import "time"

// Pauses between the passes over lacking parts.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// candidate is a configuration whose parts are being collected.
type candidate struct {
	manifest Manifest
	data     []byte
	parts    map[uint64][]byte
	packed   map[uint64][]byte // compressed parts, as far as peers gave them
	asked    time.Time         // when the read of the manifest was sent, zero if a peer gave it
	retry    time.Time         // when the lacking parts are read again
	backoff  time.Duration
	next     int // part to read next
}

// newCandidate returns a candidate for the manifest.
func newCandidate(m Manifest, data []byte) *candidate {
	return &candidate{manifest: m, data: data, parts: make(map[uint64][]byte), packed: make(map[uint64][]byte)}
}

// fill takes the contents that belong to the candidate's parts.
func (c *candidate) fill(find func(digest uint64) ([]byte, bool)) {
	for _, p := range c.manifest.Parts() {
		if data, ok := find(p.Digest()); ok && p.matches(data) {
			c.parts[p.Digest()] = data
		}
	}
}

// whole reports whether no part lacks.
func (c *candidate) whole() bool {
	for _, p := range c.manifest.Parts() {
		if _, ok := c.parts[p.Digest()]; !ok {
			return false
		}
	}
	return true
}

// nextLacking returns the next part to read. It returns false at the end of a
// pass over the parts.
func (c *candidate) nextLacking() (Part, bool) {
	parts := c.manifest.Parts()
	for c.next < len(parts) {
		p := parts[c.next]
		c.next++
		if _, ok := c.parts[p.Digest()]; !ok {
			return p, true
		}
	}
	return Part{}, false
}

// again starts another pass over the lacking parts after a pause that doubles
// up to maxBackoff.
func (c *candidate) again(now time.Time) {
	c.next = 0
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
	c.retry = now.Add(c.backoff)
}

// ordered returns the contents in the manifest's order.
func (c *candidate) ordered() [][]byte {
	out := make([][]byte, 0, len(c.manifest.Parts()))
	for _, p := range c.manifest.Parts() {
		out = append(out, c.parts[p.Digest()])
	}
	return out
}

// keep takes over the compressed forms of parts that the candidate has too.
func (c *candidate) keep(packed map[uint64][]byte) {
	for d, data := range packed {
		if c.parts[d] != nil && c.packed[d] == nil {
			c.packed[d] = data
		}
	}
}

// snapshot returns the collected configuration.
func (c *candidate) snapshot() snapshot {
	s := snapshot{version: c.manifest.Version(), manifest: c.data, parts: c.parts, packed: c.packed}
	for _, p := range c.manifest.Parts() {
		s.digests = append(s.digests, p.Digest())
	}
	return s
}
