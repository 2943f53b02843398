package bbtschedule

// prefixCache remembers which parts of prompts an engine was sent last.
type prefixCache struct {
	blocks   map[uint64]int // number of the request that sequence the block last
	sequence int
}

// cachedTokens returns how many cachedTokens at the start of a prompt the engine holds.
func (p *prefixCache) cachedTokens(blocks []PromptBlock) int {
	n := 0
	for _, block := range blocks {
		if _, ok := p.blocks[block.ID]; !ok {
			break
		}
		n += block.Tokens
	}
	return n
}

// add records that the engine reads the parts.
func (p *prefixCache) add(blocks []PromptBlock) {
	if p.blocks == nil {
		p.blocks = make(map[uint64]int)
	}
	p.sequence++
	for _, block := range blocks {
		p.blocks[block.ID] = p.sequence
	}
	if len(p.blocks) > maxCachedBlocks {
		p.evict()
	}
}

// evict drops the older half.
func (p *prefixCache) evict() {
	limit := p.sequence - maxCachedBlocks/4
	for id, sequence := range p.blocks {
		if sequence < limit {
			delete(p.blocks, id)
		}
	}
}
