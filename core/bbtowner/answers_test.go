package bbtowner

import (
	"testing"
	"time"
)

func TestAnswersCountWithoutAGap(t *testing.T) {
	var a Answers
	start := time.Unix(100, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	steps := []struct {
		name       string
		now, acked float64
		counts     bool
	}{
		{"first answer", 0, 0, false},
		{"before a permit's life is over", 0.9, 0, false},
		{"afterwards", 1, 0, true},
		{"next answer", 1.5, 1.5, true},
		{"after a gap", 6, 5.9, false},
		{"and a permit's life", 7, 5.9, true},
	}
	for _, s := range steps {
		got := a.Note(at(s.now), "h", at(s.acked))
		want := time.Time{}
		if s.counts {
			want = at(s.acked)
		}
		if !got.Equal(want) {
			t.Errorf("%s: got %v, want %v", s.name, got, want)
		}
	}
}
