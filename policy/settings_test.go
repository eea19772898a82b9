package policy

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestInvalidSettings(t *testing.T) {
	tests := []struct {
		field      string
		invalidate func(*Settings)
	}{
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[0].Deadline", func(s *Settings) { s.Classes[0].Deadline = -1 }},
		{"Classes[1].IdempotencyWindow", func(s *Settings) { s.Classes[1].IdempotencyWindow = -1 }},
		{"Classes[2].Effect", func(s *Settings) { s.Classes[2].Effect = 7 }},
		{"Slots", func(s *Settings) { s.Slots = 0 }},
		{"FleetSize", func(s *Settings) { s.FleetSize = 0 }},
		{"QueueCapacity", func(s *Settings) { s.QueueCapacity = 0 }},
		{"Weights", func(s *Settings) { s.Weights = 9 }},
		{"OrderedKeyDelay", func(s *Settings) { s.OrderedKeyDelay = -1 }},
	}
	for _, tt := range tests {
		s := basicSettings()
		tt.invalidate(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), tt.field) {
			t.Errorf("invalid %s: got error %v, want one that names the setting", tt.field, err)
		}
	}
}

func TestUnknownIDsAreIgnored(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	got := d.Handle(moment(time.Second), []Event{AttemptEnded{ID: "x"}, Withdrawn{ID: "x"},
		Arrived{ID: "y", Class: 99}, EndpointsUpdated{Endpoints: []Endpoint{{ID: "z", Removed: true}}}})
	expect(t, "events with unknown IDs or classes", got, "")
	d.Handle(0, []Event{TimerFired{}}) // the time goes back
	if d.now != moment(time.Second) {
		t.Errorf("the dispatcher's time went back to %v, want 1s", d.now)
	}
}

// Invalid values in events, such as a NaN weight or the largest Duration as Retry-After, must not corrupt
// the state: valid events after them must be decided as usual.
func TestInvalidEventValues(t *testing.T) {
	s := basicSettings()
	s.Weights = WeightsNominal
	for _, weight := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -3, 0} {
		d := start(t, s, Endpoint{ID: "a", Weight: weight})
		d.Handle(0, []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "a", Weight: 5}}}, arrive("m", 0)})
		if q := d.queues[0]; q.limiter.rate != 5 || len(q.calls) != 1 {
			t.Errorf("weight 5 after weight %v: send rate %v, want 5; %d calls in flight, want 1", weight,
				q.limiter.rate, len(q.calls))
		}
	}
	d := start(t, s, Endpoint{ID: "a"})
	d.Handle(0, []Event{arrive("m", 0)})
	d.Handle(moment(ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected,
		RetryAfter: math.MaxInt64}})
	expect(t, "the largest Duration as Retry-After",
		d.Handle(moment(time.Second), []Event{arrive("n", 0)}), "reject n")
	expect(t, "negative time left",
		d.Handle(moment(time.Second), []Event{Arrived{ID: "o", TimeLeft: -time.Second}}), "reject o")
}
