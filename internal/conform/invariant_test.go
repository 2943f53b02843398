package conform

import (
	"testing"
	"time"
)

func TestInvariantsRejectInvalidTraces(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	tests := []struct {
		name      string
		invariant func([]Event) error
		valid     []Event
		invalid   Event
	}{
		{"within slots", WithinSlots(1), []Event{PermitGranted{"a", at(1), at(3)}, PermitGranted{"b", at(3), at(4)}}, PermitGranted{"a", at(3), at(5)}},
		{"none expired", NoneExpired, []Event{RequestDispatched{"e", at(1), at(2)}}, RequestDispatched{"e", at(2), at(2)}},
		{"no dispatch after withdrawal", NoDispatchAfterWithdrawal(time.Second), []Event{EndpointWithdrawn{"e", at(1)}, RequestDispatched{"e", at(2), at(3)}}, RequestDispatched{"e", at(3), at(4)}},
		{"fence kept", FenceKept, []Event{OrderAccepted{"a", 1, at(1), at(1)}, OrderAccepted{"b", 2, at(3), at(2)}}, OrderAccepted{"a", 1, at(4), at(4)}},
		{"former owner", FenceKept, []Event{OrderAccepted{"a", 1, at(1), at(1)}, OrderAccepted{"b", 2, at(3), at(2)}}, OrderAccepted{"a", 2, at(1), at(1)}},
	}
	for _, tt := range tests {
		if err := tt.invariant(tt.valid); err != nil {
			t.Errorf("%s: got %v for a valid trace, want nil", tt.name, err)
		}
		if err := tt.invariant(append(tt.valid, tt.invalid)); err == nil {
			t.Errorf("%s: got no error for an invalid trace, want one", tt.name)
		}
	}
}
