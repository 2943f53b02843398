package bbtstandin

import "strings"

// prefixChars is the length of the prompt prefix that the cache remembers.
const prefixChars = 256

// CacheEvent says that an engine holds a prompt prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`
}

// prefixCache holds the most recent prompt prefixes.
type prefixCache struct {
	size     int
	sequence uint64
	held     []CacheEvent
}

// newPrefixCache returns a cache of size prefixes.
func newPrefixCache(size int) *prefixCache { return &prefixCache{size: size} }

// take returns how many characters of the prompt are cached and caches its
// prefix.
func (c *prefixCache) take(prompt string) int {
	prefix := prompt[:min(len(prompt), prefixChars)]
	for _, ev := range c.held {
		if strings.HasPrefix(prompt, ev.Prefix) {
			return len(ev.Prefix)
		}
	}
	c.sequence++
	c.held = append(c.held, CacheEvent{Sequence: c.sequence, Prefix: prefix})
	if len(c.held) > c.size {
		c.held = c.held[1:]
	}
	return 0
}

// events returns the cached prefixes, oldest first; evictions leave gaps.
func (c *prefixCache) events() []CacheEvent { return append([]CacheEvent(nil), c.held...) }
