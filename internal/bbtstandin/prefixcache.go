package bbtstandin

import (
	"strings"
	"time"
)

// Properties of the cache and its events.
const (
	maxPrefixChars  = 256                    // longer prompts are cached by their first characters
	cacheEventDelay = 500 * time.Millisecond // from a cache insertion to its published event
	lostEventPeriod = 5                      // every n-th event is never published
)

// CacheEvent reports that an engine has cached a prompt prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`

	cachedAt time.Time
}

// prefixCache holds the most recently inserted prompt prefixes.
type prefixCache struct {
	capacity int
	sequence uint64
	entries  []CacheEvent
}

// newPrefixCache returns a cache that holds up to capacity prefixes.
func newPrefixCache(capacity int) *prefixCache { return &prefixCache{capacity: capacity} }

// lookupOrInsert returns how many characters of the prompt are cached. If there are
// none, it caches the prompt's prefix.
func (c *prefixCache) lookupOrInsert(prompt string) int {
	prefix := prompt[:min(len(prompt), maxPrefixChars)]
	for _, ev := range c.entries {
		if strings.HasPrefix(prompt, ev.Prefix) {
			return len(ev.Prefix)
		}
	}
	c.sequence++
	c.entries = append(c.entries, CacheEvent{Sequence: c.sequence, Prefix: prefix, cachedAt: time.Now()})
	if len(c.entries) > c.capacity {
		c.entries = c.entries[1:]
	}
	return 0
}

// events returns the published events of the cached prefixes, oldest first. Events
// are delayed, and some are never published.
func (c *prefixCache) events() []CacheEvent {
	published := []CacheEvent{}
	for _, ev := range c.entries {
		if ev.Sequence%lostEventPeriod != 0 && time.Since(ev.cachedAt) >= cacheEventDelay {
			published = append(published, ev)
		}
	}
	return published
}
