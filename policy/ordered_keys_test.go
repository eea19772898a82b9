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
	expect(t, "a time-out rests the key",
		d.Handle(moment(time.Second), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: TimedOut}}),
		"fail m")
	expect(t, "still resting", d.Handle(moment(1299*ms), []Event{TimerFired{}}), "")
	expect(t, "rested", d.Handle(moment(1300*ms), []Event{TimerFired{}}), "n>a")
}

func TestOrderedKeysOfSeveralMessages(t *testing.T) {
	ordered := &Class{Ordered: true}
	keys := orderedKeys{waiting: map[string][]*message{}}
	first, second := &message{Arrived: Arrived{Key: "k"}, class: ordered},
		&message{Arrived: Arrived{Key: "k"}, class: ordered}
	other, unordered := &message{Arrived: Arrived{Key: "o"}, class: ordered},
		&message{Arrived: Arrived{Key: "k"}, class: &Class{}}
	for _, m := range []*message{first, second, other, unordered} {
		keys.add(m)
	}
	if !keys.allows(first) || keys.allows(second) || !keys.allows(other) || !keys.allows(unordered) {
		t.Error("want the first of each key, and what isn't ordered")
	}
	keys.block(first)
	if keys.block(first); len(keys.blocked) != 1 || keys.allows(second) {
		t.Error("a blocked key lets the next one go")
	}
	keys.release(first)
	if len(keys.blocked) != 0 || !keys.allows(second) {
		t.Error("a released key holds the next one back")
	}
	keys.release(second)
	keys.release(unordered)
	if keys.release(other); len(keys.waiting) != 0 {
		t.Errorf("%d keys are left", len(keys.waiting))
	}
}
