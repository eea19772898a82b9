package policy

import (
	"slices"
	"testing"
	"time"
)

// resumed is a message that an earlier process took on, with the attempts that it made.
func resumed(id string, class int, prior ...PriorAttempt) Event {
	return Arrived{ID: id, Class: class, TimeLeft: 10 * time.Second, Resumed: true, PriorAttempts: prior}
}

func TestResumed(t *testing.T) {
	const safe, keyed, unsafe = 0, 1, 2
	begin := time.Hour
	ran := func(ago time.Duration) PriorAttempt {
		return PriorAttempt{Endpoint: "gone", SentAt: moment(begin - ago)}
	}
	notExecuted := PriorAttempt{Endpoint: "a", SentAt: moment(begin - time.Second), NotExecuted: true}
	spent := make([]PriorAttempt, plain().MaxAttempts)
	for i := range spent {
		spent[i] = notExecuted
	}
	tests := []struct {
		name  string
		event Event
		want  string
	}{
		{"never tried", resumed("m", unsafe), "m>a"},
		{"safe, may have run", resumed("m", safe, ran(time.Second)), "m>a"},
		{"keyed within its memory", resumed("m", keyed, ran(3*time.Second)), "m>a"},
		{"keyed past its memory", resumed("m", keyed, ran(4*time.Second)), "reject m"},
		{"keyed, counted from the first that may have run", resumed("m", keyed, ran(4*time.Second), ran(ms)),
			"reject m"},
		{"unsafe, may have run", resumed("m", unsafe, ran(time.Second)), "fail m"},
		{"unsafe, never ran", resumed("m", unsafe, notExecuted, notExecuted), "m>a"},
		{"all attempts made", resumed("m", safe, spent...), ""},
		{"its time is up", Arrived{ID: "m", Resumed: true, TimeLeft: -time.Second}, "reject m"},
	}
	for _, tt := range tests {
		d := start(t, plain(), Endpoint{ID: "a"})
		expect(t, tt.name, d.Handle(moment(begin), []Event{tt.event}), tt.want)
	}
}

// A message that was taken on before is not up for admission again.
func TestResumedIsNotRejectedForBacklog(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	d.destination(0).queues[0].latency.mean, d.destination(0).queues[0].circuit.retryAfterUntil = 1,
		moment(60*time.Second)
	expect(t, "a fresh one", d.Handle(moment(time.Second), []Event{arrive("n", 0)}), "reject n")
	expect(t, "a resumed one", d.Handle(moment(time.Second), []Event{resumed("m", 0)}), "")
}

// A restart in an outage, or in slow start after one, goes on as the process before it would have.
func TestStateRestored(t *testing.T) {
	s := plain()
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
	if out := sends(StateRestored{Endpoint: "a", Ejected: true,
		At: moment(time.Hour - time.Minute)}); out > maxUnhealthyCalls || out >= healthy {
		t.Errorf("in an outage: %d calls at once, %d when healthy", out, healthy)
	}
	if slowStart := sends(StateRestored{Endpoint: "a",
		At: moment(time.Hour - time.Second)}); slowStart >= healthy {
		t.Errorf("in slow start: %d calls at once, %d when healthy", slowStart, healthy)
	}
	if warm := sends(StateRestored{Endpoint: "a", At: moment(time.Hour - time.Minute)}); warm != healthy {
		t.Errorf("after slow start: %d calls at once, want %d", warm, healthy)
	}
	if unknown := sends(StateRestored{Endpoint: "z", Ejected: true}); unknown != healthy {
		t.Errorf("an endpoint that left: %d calls at once, want %d", unknown, healthy)
	}
}

// What has to be recalled is told when it happens.
func TestPersistHealth(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
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
		t.Errorf("an outage: %v", got)
	}
	expect(t, "the next knock", d.Handle(moment(7*time.Second), []Event{TimerFired{}}), "m>a")
	got = persisted(d.Handle(moment(8*time.Second),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Attempt: 2, Outcome: OK, Completed: true}}))
	if len(got) != 1 || got[0] != (PersistHealth{Endpoint: "a", At: moment(8 * time.Second)}) {
		t.Errorf("the return: %v", got)
	}
}

func TestShutdownStarted(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	expect(t, "nothing is sent", d.Handle(moment(time.Second), []Event{ShutdownStarted{}, arrive("m", 0)}),
		"")
	expect(t, "nor later", d.Handle(moment(2*time.Second), []Event{TimerFired{}}), "")
}

func TestAttemptsExhausted(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	expect(t, "sent", d.Handle(moment(time.Second), []Event{arrive("m", 2)}), "m>a")
	expect(t, "ended", d.Handle(moment(2*time.Second),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: NotSent, AttemptsExhausted: true}}),
		"reject m")
}

func TestQueueCapacity(t *testing.T) {
	s := plain()
	s.QueueCapacity, s.Slots = 2, 1
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1}, Endpoint{ID: "c", Destination: 2})
	var events []Event
	for i, id := range []string{"l", "m", "n"} {
		events = append(events, Arrived{ID: id, Destination: i, TimeLeft: 10 * time.Second})
	}
	expect(t, "a third where two may be held", d.Handle(moment(time.Second), events), "reject l m>b")
}

// While attempts leave no record, only what a later process may send again goes out; the rest waits, and goes
// once they do.
func TestStorageReadOnly(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	d.Handle(0, []Event{StorageChanged{Writable: false}})
	expect(t, "no record",
		d.Handle(moment(time.Second), []Event{resumed("safe", 0), resumed("keyed", 1), resumed("unsafe", 2)}),
		"safe>a")
	expect(t, "records again",
		d.Handle(moment(2*time.Second),
			[]Event{AttemptEnded{ID: "safe", Endpoint: "a", Completed: true},
				StorageChanged{Writable: true}}), "keyed>a unsafe>a")
}

// An attempt whose endpoint is not known any more was in no zone that another shares its memory with.
func TestUnknownZone(t *testing.T) {
	s := plain()
	s.Classes[1].KeysPerZone = true
	for _, zone := range []int{0, 1} {
		d := start(t, s, Endpoint{ID: "a", Zone: zone})
		expect(t, "keyed by zone",
			d.Handle(moment(time.Hour),
				[]Event{resumed("m", 1, PriorAttempt{SentAt: moment(time.Hour - time.Second)})}), "")
	}
}

// What a restart finds untried is tried: before what arrives afresh, and a Retry-After, be it that of a
// destination that is down and comes back in slow start, delays it without ending it while time is left,
// though nothing is known yet of latencies.
func TestOtherEndpointFirst(t *testing.T) {
	for _, wait := range []time.Duration{2 * time.Second, 3 * time.Second} {
		s := plain()
		s.Slots = 1
		d := start(t, s, Endpoint{ID: "a"})
		untried := func(id string) Event { return Arrived{ID: id, TimeLeft: 9 * time.Second, Resumed: true} }
		expect(t, "the oldest first",
			d.Handle(moment(ms), []Event{untried("old1"), untried("old2"), arrive("fresh", 0)}), "old1>a")
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
						t.Errorf("%s was sent into the wait", a.ID)
					}
					order = append(order, a.ID)
					end(a.ID, map[string]int{"old1": 1}[a.ID], OK, 0)
				case Reject, Fail:
					t.Errorf("a wait of %v: %+v", wait, a)
				}
			}
		}
		if want := []string{"old1", "old2", "fresh"}; !slices.Equal(order, want) {
			t.Errorf("a wait of %v: sent %v, want %v", wait, order, want)
		}
	}
}
