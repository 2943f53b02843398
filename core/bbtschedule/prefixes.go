package bbtschedule

const (
	defaultCacheTokens = 400_000 // of an engine whose service does not state its size
	maxCachedBlocks    = 4096    // number of blocks per engine above which evicted ones are dropped
)

// prefixCache tracks which blocks of prompts an engine is likely to have in its
// prefix cache, which evicts the least recently used ones once it is full. The
// zero value is empty.
type prefixCache struct {
	usedAt map[uint64]float64 // value of stored at the latest use of each block, by block ID
	stored float64            // tokens that the engine has stored so far
}

// cachedTokens returns how many tokens at the start of a prompt are cached by an
// engine that caches the given number of tokens.
func (p *prefixCache) cachedTokens(blocks []PromptBlock, capacity float64) int {
	n := 0
	for _, block := range blocks {
		usedAt, ok := p.usedAt[block.ID]
		if !ok || p.stored-usedAt > capacity {
			break
		}
		n += block.Tokens
	}
	return n
}

// add records that the engine is sent the blocks, and that it stores the given
// number of new tokens for the request, at least one.
func (p *prefixCache) add(blocks []PromptBlock, tokens, capacity float64) {
	if p.usedAt == nil {
		p.usedAt = make(map[uint64]float64)
	}
	p.stored += max(1, tokens)
	for _, block := range blocks {
		p.usedAt[block.ID] = p.stored
	}
	if len(p.usedAt) > maxCachedBlocks {
		p.evict(capacity)
	}
}

// evict drops the blocks that the engine has evicted and, if many small ones
// remain, the older half of the others.
func (p *prefixCache) evict(capacity float64) {
	for ; len(p.usedAt) > maxCachedBlocks/2 && capacity >= 1; capacity /= 2 {
		for id, usedAt := range p.usedAt {
			if p.stored-usedAt > capacity {
				delete(p.usedAt, id)
			}
		}
	}
}
