package bbtview

import "time"

// Limits of the delay between two passes over the missing parts.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// candidate is a configuration whose parts are being collected.
type candidate struct {
	manifest     Manifest
	manifestData []byte
	parts        map[uint64][]byte
	compressed   map[uint64][]byte // compressed parts, from peers or the active configuration
	requestedAt  time.Time         // when the read of the manifest was sent, zero if the manifest came from a watch or a peer
	retryAt      time.Time         // when the missing parts are read again
	backoff      time.Duration
	nextPart     int // index of the part to read next
}

// newCandidate returns a candidate for the manifest.
func newCandidate(m Manifest, data []byte) *candidate {
	return &candidate{manifest: m, manifestData: data, parts: make(map[uint64][]byte), compressed: make(map[uint64][]byte)}
}

// addParts adds each part of the manifest for which find returns matching
// content.
func (c *candidate) addParts(find func(digest uint64) ([]byte, bool)) {
	for _, p := range c.manifest.Parts() {
		if data, ok := find(p.Digest()); ok && p.matches(data) {
			c.parts[p.Digest()] = data
		}
	}
}

// hasAllParts reports whether no part is missing.
func (c *candidate) hasAllParts() bool {
	for _, p := range c.manifest.Parts() {
		if _, ok := c.parts[p.Digest()]; !ok {
			return false
		}
	}
	return true
}

// nextMissing returns the next missing part. It returns false at the end of a
// pass over the parts.
func (c *candidate) nextMissing() (Part, bool) {
	parts := c.manifest.Parts()
	for c.nextPart < len(parts) {
		p := parts[c.nextPart]
		c.nextPart++
		if _, ok := c.parts[p.Digest()]; !ok {
			return p, true
		}
	}
	return Part{}, false
}

// scheduleRetry starts another pass over the missing parts after an exponential
// backoff of up to maxBackoff.
func (c *candidate) scheduleRetry(now time.Time) {
	c.nextPart = 0
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
	c.retryAt = now.Add(c.backoff)
}

// orderedParts returns the contents of the parts in the manifest's order.
func (c *candidate) orderedParts() [][]byte {
	out := make([][]byte, 0, len(c.manifest.Parts()))
	for _, p := range c.manifest.Parts() {
		out = append(out, c.parts[p.Digest()])
	}
	return out
}

// keepCompressed copies the compressed contents of parts that the candidate has
// too.
func (c *candidate) keepCompressed(compressed map[uint64][]byte) {
	for d, data := range compressed {
		if c.parts[d] != nil && c.compressed[d] == nil {
			c.compressed[d] = data
		}
	}
}

// snapshot returns the published form of the collected configuration.
func (c *candidate) snapshot() snapshot {
	s := snapshot{version: c.manifest.Version(), manifest: c.manifestData, parts: c.parts, compressed: c.compressed}
	for _, p := range c.manifest.Parts() {
		s.digests = append(s.digests, p.Digest())
	}
	return s
}
