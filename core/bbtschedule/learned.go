package bbtschedule

import (
	"slices"
	"time"
)

// Learned returns what this host knows for the next owner, as an owner or from the
// one that it uses.
func (s *Scheduler) Learned(now time.Time) Learned {
	return Learned{Quarantines: s.suspects.export(now)}
}

// SetLearned replaces what this host knows by what its owner has told.
func (s *Scheduler) SetLearned(now time.Time, l Learned) {
	s.suspects.quarantines = nil
	s.suspects.merge(now, l.Quarantines)
}

// export returns the quarantines.
func (t *suspects) export(now time.Time) []Quarantine {
	out := make([]Quarantine, 0, len(t.quarantines))
	for _, q := range t.quarantines {
		if q.expired(now) {
			continue
		}
		m := Quarantine{Remaining: q.until.Sub(now), Times: q.times}
		for _, tr := range q.traits {
			if tr.fingerprint {
				m.Fingerprint = tr.id
				continue
			}
			m.Blocks = append(m.Blocks, tr.id)
		}
		out = append(out, m)
	}
	return out
}

// merge adds quarantines of another owner.
func (t *suspects) merge(now time.Time, list []Quarantine) {
	for _, m := range list {
		q := &quarantine{until: now.Add(min(m.Remaining, maxQuarantineDuration)), times: min(max(1, m.Times), maxDoublings)}
		for _, id := range m.Blocks {
			q.traits = append(q.traits, trait{id: id})
		}
		if m.Fingerprint != 0 {
			q.traits = append(q.traits, trait{fingerprint: true, id: m.Fingerprint})
		}
		if q.expired(now) || len(t.quarantines) >= maxQuarantines {
			continue
		}
		i := slices.IndexFunc(t.quarantines, func(o *quarantine) bool { return len(o.traits) == len(q.traits) && o.covers(q.traits) })
		if i < 0 {
			t.quarantines = append(t.quarantines, q)
			continue
		}
		t.quarantines[i].times = max(t.quarantines[i].times, q.times)
		t.quarantines[i].until = later(t.quarantines[i].until, q.until)
	}
}
