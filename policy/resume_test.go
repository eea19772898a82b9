package policy

import (
	"slices"
	"testing"
	"time"
)

// resumed returns the arrival of a message that an earlier process admitted, with its attempts there.
func resumed(id string, class int, prior ...PriorAttempt) Event {
	return Arrived{ID: id, Class: class, TimeLeft: 10 * time.Second, Resumed: true, PriorAttempts: prior}
}

func TestRetryOfResumedMessages(t *testing.T) {
	const idempotent, withKey, notIdempotent = 0, 1, 2
	now := time.Hour
	executed := func(ago time.Duration) PriorAttempt {
		return PriorAttempt{Endpoint: "gone", SentAt: moment(now - ago)}
	}
	notExecuted := PriorAttempt{Endpoint: "a", SentAt: moment(now - time.Second), NotExecuted: true}
	inFlight := PriorAttempt{Endpoint: "a", SentAt: moment(now - time.Second), InFlight: true}
	exhausted := make([]PriorAttempt, basicSettings().MaxAttempts)
	for i := range exhausted {
		exhausted[i] = notExecuted
	}
	tests := []struct {
		name  string
		event Event
		want  string
	}{
		{"no attempt yet", resumed("m", notIdempotent), "m>a"},
		{"idempotent, may have run", resumed("m", idempotent, executed(time.Second)), "m>a"},
		{"within the idempotency window", resumed("m", withKey, executed(3*time.Second)), "m>a"},
		{"after the idempotency window", resumed("m", withKey, executed(4*time.Second)), "reject m"},
		{"window counted from the first attempt",
			resumed("m", withKey, executed(4*time.Second), executed(ms)), "reject m"},
		{"not idempotent, may have run", resumed("m", notIdempotent, executed(time.Second)), "fail m"},
		{"not idempotent, not executed", resumed("m", notIdempotent, notExecuted, notExecuted), "m>a"},
		{"no attempts left", resumed("m", idempotent, exhausted...), "reject m"},
		{"one of many in flight", resumed("m", idempotent, append(exhausted[1:], inFlight)...), ""},
		{"deadline passed", Arrived{ID: "m", Resumed: true, TimeLeft: -time.Second}, "reject m"},
	}
	for _, tt := range tests {
		d := start(t, basicSettings(), Endpoint{ID: "a"})
		expect(t, tt.name, d.Handle(moment(now), []Event{tt.event}), tt.want)
	}
}

// A message that an earlier process admitted must not go through admission control again.
func TestResumedIsNotRejectedForBacklog(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	d.destination(0).queues[0].latency.mean, d.destination(0).queues[0].circuit.retryAfterUntil = 1,
		moment(60*time.Second)
	expect(t, "new message", d.Handle(moment(time.Second), []Event{arrive("n", 0)}), "reject n")
	expect(t, "resumed message", d.Handle(moment(time.Second), []Event{resumed("m", 0)}), "")
}

// After a restart, an endpoint that was ejected or in slow start must not get more calls than before it.
func TestStateRestoredLimitsCalls(t *testing.T) {
	s := basicSettings()
	s.Weights, s.Slots = WeightsNominal, 16
	sends := func(events ...Event) int {
		d := start(t, s, Endpoint{ID: "a", Weight: 10})
		for i := range 6 {
			events = append(events, resumed(string(rune('m'+i)), 0))
		}
		n := 0
		for _, a := range d.Handle(moment(time.Hour), events) {
			if _, ok := a.(Send); ok {
				n++
			}
		}
		return n
	}
	healthy := sends()
	if ejected := sends(StateRestored{Endpoint: "a", Ejected: true,
		At: moment(time.Hour - time.Minute)}); ejected > maxUnhealthyCalls || ejected >= healthy {
		t.Errorf("ejected endpoint: %d calls at once, want fewer than the %d of a healthy one and at most %d",
			ejected, healthy, maxUnhealthyCalls)
	}
	if slowStart := sends(StateRestored{Endpoint: "a",
		At: moment(time.Hour - time.Second)}); slowStart >= healthy {
		t.Errorf("slow start: %d calls at once, want fewer than the %d of a healthy one", slowStart, healthy)
	}
	if normal := sends(StateRestored{Endpoint: "a", At: moment(time.Hour - time.Minute)}); normal != healthy {
		t.Errorf("after slow start: %d calls at once, want the %d of a healthy one", normal, healthy)
	}
	if unknown := sends(StateRestored{Endpoint: "z", Ejected: true}); unknown != healthy {
		t.Errorf("unlisted endpoint: %d calls at once to the other, want %d as if healthy", unknown, healthy)
	}
}

// An ejection and a recovery must each be persisted once, at the time when they happen.
func TestEjectionAndRecoveryArePersisted(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	persisted := func(actions []Action) (list []PersistHealth) {
		for _, a := range actions {
			if r, ok := a.(PersistHealth); ok {
				list = append(list, r)
			}
		}
		return list
	}
	d.Handle(moment(time.Second), []Event{arrive("m", 0)})
	d.Handle(moment(2*time.Second),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Attempt: 0, Outcome: ConnectError}})
	got := persisted(d.Handle(moment(3*time.Second),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Attempt: 1, Outcome: ConnectError}}))
	if len(got) != 1 || got[0] != (PersistHealth{Endpoint: "a", Ejected: true, At: moment(3 * time.Second)}) {
		t.Errorf("after two connect errors: persisted %+v, want one ejection at 3s", got)
	}
	expect(t, "next probe", d.Handle(moment(7*time.Second), []Event{TimerFired{}}), "m>a")
	got = persisted(d.Handle(moment(8*time.Second),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Attempt: 2, Outcome: OK, Completed: true}}))
	if len(got) != 1 || got[0] != (PersistHealth{Endpoint: "a", At: moment(8 * time.Second)}) {
		t.Errorf("after a success: persisted %+v, want one recovery at 8s", got)
	}
}

func TestNothingIsSentDuringShutdown(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	expect(t, "after ShutdownStarted",
		d.Handle(moment(time.Second), []Event{ShutdownStarted{}, arrive("m", 0)}), "")
	expect(t, "one second later", d.Handle(moment(2*time.Second), []Event{TimerFired{}}), "")
}

func TestAttemptsExhaustedEndsMessage(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	expect(t, "first attempt", d.Handle(moment(time.Second), []Event{arrive("m", 2)}), "m>a")
	expect(t, "no attempts left", d.Handle(moment(2*time.Second),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: NotSent, AttemptsExhausted: true}}),
		"reject m")
}

func TestQueueCapacityIsNotExceeded(t *testing.T) {
	s := basicSettings()
	s.QueueCapacity, s.Slots = 2, 1
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1}, Endpoint{ID: "c", Destination: 2})
	var events []Event
	for i, id := range []string{"l", "m", "n"} {
		events = append(events, Arrived{ID: id, Destination: i, TimeLeft: 10 * time.Second})
	}
	expect(t, "third message, capacity for two", d.Handle(moment(time.Second), events), "reject l m>b")
}

// While attempts cannot be recorded, a later process might repeat them: only idempotent messages may be sent.
// The others wait until attempts can be recorded again.
func TestStorageReadOnlyHoldsBackUnsafeMessages(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	d.Handle(0, []Event{StorageChanged{Writable: false}})
	expect(t, "storage read-only",
		d.Handle(moment(time.Second), []Event{resumed("safe", 0), resumed("keyed", 1), resumed("unsafe", 2)}),
		"safe>a")
	expect(t, "storage writable again",
		d.Handle(moment(2*time.Second),
			[]Event{AttemptEnded{ID: "safe", Endpoint: "a", Completed: true},
				StorageChanged{Writable: true}}), "keyed>a unsafe>a")
}

// An attempt at an endpoint that is no longer listed was made in an unknown zone. No other endpoint is
// known to remember its idempotency key, so the message must not be retried.
func TestNoRetryWhereZoneOfPriorAttemptIsUnknown(t *testing.T) {
	s := basicSettings()
	s.Classes[1].KeysPerZone = true
	for _, zone := range []int{0, 1} {
		d := start(t, s, Endpoint{ID: "a", Zone: zone})
		expect(t, "idempotency keys per zone",
			d.Handle(moment(time.Hour),
				[]Event{resumed("m", 1, PriorAttempt{SentAt: moment(time.Hour - time.Second)})}), "")
	}
}

// After a restart, messages that were never sent must be sent before new ones. A Retry-After must only delay
// them, even if it is long enough to eject the endpoint and start a slow start, and although no latency is
// known yet.
func TestResumedMessagesPrecedeNewOnes(t *testing.T) {
	for _, wait := range []time.Duration{2 * time.Second, 3 * time.Second} {
		s := basicSettings()
		s.Slots = 1
		d := start(t, s, Endpoint{ID: "a"})
		unsent := func(id string) Event { return Arrived{ID: id, TimeLeft: 9 * time.Second, Resumed: true} }
		expect(t, "oldest message first",
			d.Handle(moment(ms), []Event{unsent("old1"), unsent("old2"), arrive("fresh", 0)}), "old1>a")
		var events []Event
		end := func(id string, n int, o Outcome, wait time.Duration) {
			events = append(events,
				AttemptEnded{ID: id, Endpoint: "a", Attempt: n, Outcome: o, RetryAfter: wait,
					Latency: 90 * ms, Completed: o == OK})
		}
		end("old1", 0, Rejected, wait)
		var order []string
		for at := 100 * ms; at < 9*time.Second; at += 100 * ms {
			actions := d.Handle(moment(at), events)
			events = nil
			for _, a := range actions {
				switch a := a.(type) {
				case Send:
					if at < 100*ms+wait {
						t.Errorf("%s was sent during the Retry-After", a.ID)
					}
					order = append(order, a.ID)
					end(a.ID, map[string]int{"old1": 1}[a.ID], OK, 0)
				case Reject, Fail:
					t.Errorf("Retry-After %v: got %+v, want no message rejected or failed", wait, a)
				}
			}
		}
		if want := []string{"old1", "old2", "fresh"}; !slices.Equal(order, want) {
			t.Errorf("Retry-After %v: sent %v, want %v", wait, order, want)
		}
	}
}
