package policy

import (
	"testing"
	"time"
)

func TestOrderedKeys(t *testing.T) {
	s := plain()
	s.OrderedKeyDelay = 300 * ms
	d := start(t, s, Endpoint{ID: "a"})
	expect(t, "one of a key at a time", d.Handle(0, []Event{arrive("m", 2), arrive("n", 2)}), "m>a")
	expect(t, "a time-out rests the key", d.Handle(moment(time.Second), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: TimedOut}}),
		"fail m")
	expect(t, "still resting", d.Handle(moment(1299*ms), []Event{TimerFired{}}), "")
	expect(t, "rested", d.Handle(moment(1300*ms), []Event{TimerFired{}}), "n>a")
}
