package bbtschedule

// prefixes remembers which parts of prompts an engine was sent last.
type prefixes struct {
	parts map[uint64]int // number of the request that used the part last
	used  int
}

// tokens returns how many tokens at the start of a prompt the engine holds.
func (p *prefixes) tokens(parts []PromptBlock) int {
	n := 0
	for _, part := range parts {
		if _, ok := p.parts[part.ID]; !ok {
			break
		}
		n += part.Tokens
	}
	return n
}

// add records that the engine reads the parts.
func (p *prefixes) add(parts []PromptBlock) {
	if p.parts == nil {
		p.parts = make(map[uint64]int)
	}
	p.used++
	for _, part := range parts {
		p.parts[part.ID] = p.used
	}
	if len(p.parts) > prefixesKept {
		p.forget()
	}
}

// forget drops the older half.
func (p *prefixes) forget() {
	limit := p.used - prefixesKept/4
	for id, used := range p.parts {
		if used < limit {
			delete(p.parts, id)
		}
	}
}
