package bbtschedule

const (
	maxHolders       = 6       // engines remembered per block, those that were sent it last
	maxHolderEntries = 1 << 16 // blocks in a generation of holders
)

// holders finds the engines that were sent a prompt block. It keeps two
// generations of blocks: when the newer one is full, the older one is dropped.
// The zero value is empty.
type holders struct {
	current, previous map[uint64][]*endpoint
}

// add records that an engine is sent the blocks.
func (h *holders) add(e *endpoint, blocks []PromptBlock) {
	if h.current == nil || len(h.current) >= maxHolderEntries {
		h.current, h.previous = make(map[uint64][]*endpoint), h.current
	}
	for _, block := range blocks {
		engines, ok := h.current[block.ID]
		if !ok {
			engines = h.previous[block.ID]
		}
		h.current[block.ID] = pushFront(engines, e)
	}
}

// pushFront moves an engine to the front of a list of at most maxHolders.
func pushFront(engines []*endpoint, e *endpoint) []*endpoint {
	i := 0
	for i < len(engines) && engines[i] != e {
		i++
	}
	if i == len(engines) {
		if i < maxHolders {
			engines = append(engines, e)
		} else {
			i--
		}
	}
	copy(engines[1:i+1], engines[:i])
	engines[0] = e
	return engines
}

// of returns engines that were sent the longest known part of a prompt, the
// latest one first. Some may have evicted it since, or may have left.
func (h *holders) of(blocks []PromptBlock) []*endpoint {
	for i := len(blocks) - 1; i >= 0; i-- {
		if engines, ok := h.current[blocks[i].ID]; ok {
			return engines
		}
		if engines, ok := h.previous[blocks[i].ID]; ok {
			return engines
		}
	}
	return nil
}
