package bbthome

import "time"

// record is the newest ticket of a key.
type record struct {
	sequence uint64
	issued   time.Time
	counted  bool // its caller counts its attempts
}

// remembered is a key in the order of its tickets' issue.
type remembered struct {
	key    Key
	issued time.Time
}

// Record records the newest ticket of a key by its sequence number. All
// earlier tickets of the key that this host issued must be void.
func (h *Home) Record(now time.Time, k Key, sequence uint64, c Claim) {
	h.records[k] = record{sequence: sequence, issued: now, counted: c != Uncounted}
	h.order = append(h.order, remembered{key: k, issued: now})
}

// Renew records that a fresh ticket took the place of the key's newest.
func (h *Home) Renew(now time.Time, k Key, sequence uint64) {
	c := Uncounted
	if h.records[k].counted {
		c = First
	}
	h.Record(now, k, sequence, c)
}

// NewestTicket returns the sequence number of the key's newest ticket and whether
// the key is remembered.
func (h *Home) NewestTicket(now time.Time, k Key) (uint64, bool) {
	h.Expire(now)
	r, ok := h.records[k]
	return r.sequence, ok
}

// Len returns the number of keys remembered.
func (h *Home) Len() int { return len(h.records) }

// Expire forgets the keys whose window is over.
func (h *Home) Expire(now time.Time) {
	for len(h.order) > 0 && now.Sub(h.order[0].issued) >= h.stretch(h.window) {
		first := h.order[0]
		h.order = h.order[1:]
		if h.records[first.key].issued.Equal(first.issued) {
			delete(h.records, first.key)
		}
	}
}
