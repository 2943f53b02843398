package bbthome

import "time"

// record describes the newest ticket of a key.
type record struct {
	sequence uint64
	issued   time.Time
	counted  bool // the caller counts its attempts
}

// issuance is the issue of one ticket of a key.
type issuance struct {
	key    Key
	issued time.Time
}

// Record stores the sequence number of a key's newest ticket. All earlier
// tickets of the key that this host issued must be void.
func (h *Registry) Record(now time.Time, k Key, sequence uint64, c Claim) {
	h.records[k] = record{sequence: sequence, issued: now, counted: c != Uncounted}
	h.issuances = append(h.issuances, issuance{key: k, issued: now})
}

// Renew records a new ticket that replaces the key's newest one. Whether the
// caller counts its attempts is taken over from the replaced ticket.
func (h *Registry) Renew(now time.Time, k Key, sequence uint64) {
	c := Uncounted
	if h.records[k].counted {
		c = First
	}
	h.Record(now, k, sequence, c)
}

// NewestTicket returns the sequence number of the key's newest ticket and
// whether there is a record of the key.
func (h *Registry) NewestTicket(now time.Time, k Key) (uint64, bool) {
	h.Expire(now)
	r, ok := h.records[k]
	return r.sequence, ok
}

// Len returns the number of keys that have a record.
func (h *Registry) Len() int { return len(h.records) }

// Expire removes the records of keys whose resend window has ended.
func (h *Registry) Expire(now time.Time) {
	for len(h.issuances) > 0 && now.Sub(h.issuances[0].issued) >= h.addDrift(h.resendWindow) {
		oldest := h.issuances[0]
		h.issuances = h.issuances[1:]
		if h.records[oldest.key].issued.Equal(oldest.issued) {
			delete(h.records, oldest.key)
		}
	}
}
