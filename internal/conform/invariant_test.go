package conform

import (
	"testing"
	"time"
)

func TestInvariantsRefuseBrokenTraces(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	tests := []struct {
		name      string
		invariant func([]Event) error
		sound     []Event
		broken    Event
	}{
		{"within slots", WithinSlots(1), []Event{Permitted{"a", at(1), at(3)}, Permitted{"b", at(3), at(4)}}, Permitted{"a", at(3), at(5)}},
		{"none expired", NoneExpired, []Event{Dispatched{"e", at(1), at(2)}}, Dispatched{"e", at(2), at(2)}},
		{"none to", NoneTo(time.Second), []Event{TakenOut{"e", at(1)}, Dispatched{"e", at(2), at(3)}}, Dispatched{"e", at(3), at(4)}},
		{"fence kept", FenceKept, []Event{OrderAccepted{"a", 1, at(1), at(1)}, OrderAccepted{"b", 2, at(3), at(2)}}, OrderAccepted{"a", 1, at(4), at(4)}},
		{"former owner", FenceKept, []Event{OrderAccepted{"a", 1, at(1), at(1)}, OrderAccepted{"b", 2, at(3), at(2)}}, OrderAccepted{"a", 2, at(1), at(1)}},
	}
	for _, tt := range tests {
		if err := tt.invariant(tt.sound); err != nil {
			t.Errorf("%s: got %v for a sound trace, want none", tt.name, err)
		}
		if err := tt.invariant(append(tt.sound, tt.broken)); err == nil {
			t.Errorf("%s: got no error for a broken trace, want one", tt.name)
		}
	}
}
