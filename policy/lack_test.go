package policy

import (
	"testing"
	"time"
)

// A call that could not be begun uses up no attempt, whatever the class, opens no window, and is held against no endpoint;
// its queue waits a moment, longer each time up to a bound, and is back at once when calls can be begun.
func TestUnsentCalls(t *testing.T) {
	for class := range 3 {
		s := plain()
		s.MaxAttempts = 2
		d, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Second
		expect(t, "the first try", d.Handle(moment(now), []Event{Listed{Whole: true, Endpoints: []Endpoint{{ID: "a"}}}, arrive("m", class)}), "m>a")
		for i := range 10 {
			unsent := Ended{ID: "m", Endpoint: "a", Attempt: 0, Outcome: Unsent}
			expect(t, "at once", d.Handle(moment(now+ms), []Event{unsent}), "")
			pause := min(lackPause<<i, lackPauseMost)
			expect(t, "in the pause", d.Handle(moment(now+pause-ms), []Event{Woken{}}), "")
			now += pause + 2*ms
			expect(t, "behind it", d.Handle(moment(now), []Event{Woken{}}), "m>a")
		}
		ep := d.endpoints["a"]
		if m := d.messages["m"]; len(m.attempts) != 1 || m.firstRun() == nil || ep.failures != 0 || ep.sick || ep.strikes[class] != 0 {
			t.Errorf("class %d: %d attempts, %v failures", class, len(m.attempts), ep.failures)
		}
		if q := d.queues[0]; q.pace > 0 && d.tokens(q) < 0 {
			t.Errorf("class %d: %v tokens", class, q.tokens)
		}
		expect(t, "delivered", d.Handle(moment(now+ms), []Event{Ended{ID: "m", Endpoint: "a", Attempt: 0, Outcome: OK, Over: true}}), "")
		if q := d.queues[0]; q.lackPause != 0 || q.lackUntil != 0 {
			t.Errorf("class %d: still a pause of %v", class, q.lackPause)
		}
	}
}

// A call to a cold endpoint that could not be begun gives its part of the budget back.
func TestUnsentCallsCostNoBudget(t *testing.T) {
	s := plain()
	s.RampTime, s.ColdShare, s.OverloadFactor, s.OverloadFor, s.Weights = 10*time.Second, 0.2, 2.5, 1500*ms, WeightsNominal
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := moment(time.Hour)
	expect(t, "to a cold endpoint", d.Handle(now, []Event{Listed{Whole: true, Endpoints: []Endpoint{{ID: "a", Weight: 50}}},
		Recalled{Endpoint: "a", At: now.Add(-ms)}, arrive("m", 0)}), "m>a")
	ep := d.endpoints["a"]
	spent := ep.tokens
	d.Handle(now, []Event{Ended{ID: "m", Endpoint: "a", Outcome: Unsent}})
	if got := ep.tokens - spent; got != 1 {
		t.Errorf("%v of a call came back", got)
	}
}
