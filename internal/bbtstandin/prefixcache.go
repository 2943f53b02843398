package bbtstandin

import (
	"strings"
	"time"
)

// Shapes of the cache and of its events.
const (
	prefixChars = 256                    // length of a remembered prompt prefix
	cacheLag    = 500 * time.Millisecond // from a change to its event
	lostEvent   = 5                      // one event in so many is never published
)

// CacheEvent says that an engine holds a prompt prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`

	at time.Time // when the prefix was taken up
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
	c.held = append(c.held, CacheEvent{Sequence: c.sequence, Prefix: prefix, at: time.Now()})
	if len(c.held) > c.size {
		c.held = c.held[1:]
	}
	return 0
}

// events returns the cached prefixes, oldest first. They come late, and some
// never.
func (c *prefixCache) events() []CacheEvent {
	published := []CacheEvent{}
	for _, ev := range c.held {
		if ev.Sequence%lostEvent != 0 && time.Since(ev.at) >= cacheLag {
			published = append(published, ev)
		}
	}
	return published
}
