package bbtschedule

// prefixCache tracks which blocks of prompts an engine is likely to have in its
// prefix cache: those that it was sent most recently.
type prefixCache struct {
	blocks   map[uint64]int // sequence number of the latest request with the block, by block ID
	sequence int            // number of the latest request
}

// cachedTokens returns how many tokens at the start of a prompt are cached.
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

// add records that the engine is sent the blocks.
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

// evict drops blocks that the last maxCachedBlocks/4 requests did not use, which
// allows for four new blocks per request. If there were more, more than
// maxCachedBlocks blocks remain.
func (p *prefixCache) evict() {
	oldestKept := p.sequence - maxCachedBlocks/4
	for id, sequence := range p.blocks {
		if sequence < oldestKept {
			delete(p.blocks, id)
		}
	}
}
