package bbtschedule

// trait is something that requests have in common which may crash endpoints: a block
// of the prompt, or all that the request holds.
type trait struct {
	fingerprint bool // id is a fingerprint, not a prompt block
	id          uint64
}

// traitsOf returns the traits of a request. The last block of its prompt belongs to
// the request itself, which its fingerprint identifies.
func traitsOf(r *Registration) []trait {
	out := make([]trait, 0, len(r.PromptBlocks)+1)
	for i, b := range r.PromptBlocks {
		if i < len(r.PromptBlocks)-1 {
			out = append(out, trait{id: b.ID})
		}
	}
	if r.Fingerprint != 0 {
		out = append(out, trait{fingerprint: true, id: r.Fingerprint})
	}
	return out
}
