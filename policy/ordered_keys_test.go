package policy

import (
	"testing"
	"time"
)

func TestOrderedKeyStaysBlockedAfterTimeout(t *testing.T) {
	s := basicSettings()
	s.OrderedKeyDelay = 300 * ms
	d := start(t, s, Endpoint{ID: "a"})
	expect(t, "two messages with one key", d.Handle(0, []Event{arrive("m", 2), arrive("n", 2)}), "m>a")
	expect(t, "time-out blocks the key",
		d.Handle(moment(time.Second), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: TimedOut}}),
		"fail m")
	expect(t, "before OrderedKeyDelay", d.Handle(moment(1299*ms), []Event{TimerFired{}}), "")
	expect(t, "after OrderedKeyDelay", d.Handle(moment(1300*ms), []Event{TimerFired{}}), "n>a")
}

func TestOrderedKeysAllowFirstMessageOfEachKey(t *testing.T) {
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
		t.Error("want only the first message of each key and the unordered message to be allowed")
	}
	keys.block(first)
	if keys.block(first); len(keys.blocked) != 1 || keys.allows(second) {
		t.Error("want the key blocked once, and the next message not allowed")
	}
	keys.release(first)
	if len(keys.blocked) != 0 || !keys.allows(second) {
		t.Error("want the key released, and the next message allowed")
	}
	keys.release(second)
	keys.release(unordered)
	if keys.release(other); len(keys.waiting) != 0 {
		t.Errorf("%d keys left after all messages are released, want 0", len(keys.waiting))
	}
}
