package policy_test

import (
	"fmt"
	"math/rand"
	"reflect"
	"sort"
	"testing"
	"time"

	"milletsail/internal/instant"
	"milletsail/policy"
)

// TestRulesUnderSeededEvents guards against actions that break a rule of ruleChecker, with random settings
// and events from 150 seeds.
func TestRulesUnderSeededEvents(t *testing.T) {
	for seed := range int64(150) {
		if _, err := runSeeded(seed, 500); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// FuzzRules does the same as TestRulesUnderSeededEvents with fuzzed seeds.
func FuzzRules(f *testing.F) {
	f.Add(int64(1))
	f.Fuzz(func(t *testing.T, seed int64) {
		if _, err := runSeeded(seed, 300); err != nil {
			t.Error(err)
		}
	})
}

// TestSameEventsSameActions guards against actions that depend on anything but the events and the seed, such
// as the order of a map.
func TestSameEventsSameActions(t *testing.T) {
	for seed := range int64(10) {
		a, _ := runSeeded(seed, 300)
		b, _ := runSeeded(seed, 300)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d: two runs on the same events differ in their actions", seed)
		}
	}
}

// TestInterleavedInstances guards against state that dispatchers of one process share: two that handle the
// same batches in turn have to act as one that runs alone.
func TestInterleavedInstances(t *testing.T) {
	s := randomSettings(rand.New(rand.NewSource(3)))
	handleBatch := func(d *policy.Dispatcher, i int) []policy.Action {
		var events []policy.Event
		if i == 0 {
			for dest := range 4 {
				events = append(events, policy.EndpointsUpdated{Endpoints: []policy.Endpoint{
					{ID: fmt.Sprint("e", dest), Destination: dest, Kind: dest % 3, Weight: 5}}})
			}
		}
		for n := range 3 {
			events = append(events,
				policy.Arrived{ID: fmt.Sprint("m", i, "-", n), Class: n, Destination: (i + n) % 4,
					TimeLeft: s.Classes[n].Deadline, Key: "k"})
		}
		return d.Handle(instant.Time(time.Duration(i)*50*time.Millisecond), events)
	}
	newDispatcher := func() *policy.Dispatcher {
		d, err := policy.New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	alone, a, b := newDispatcher(), newDispatcher(), newDispatcher()
	for i := range 100 {
		want := handleBatch(alone, i)
		if got := handleBatch(a, i); !reflect.DeepEqual(got, want) {
			t.Fatalf("batch %d: dispatcher a returned %v, want %v as from one that runs alone", i, got, want)
		}
		if got := handleBatch(b, i); !reflect.DeepEqual(got, want) {
			t.Fatalf("batch %d: dispatcher b returned %v, want %v as from one that runs alone", i, got, want)
		}
	}
}

// TestRuleCheckerReportsViolations guards against a ruleChecker that misses violations: each sequence breaks
// one rule, whose number its name starts with, and has to be reported.
func TestRuleCheckerReportsViolations(t *testing.T) {
	s := randomSettings(rand.New(rand.NewSource(1)))
	s.HedgedRequests, s.FleetSize, s.OrderedKeyDelay = false, 2, 0
	s.Classes = []policy.Class{
		{Deadline: 5 * time.Second, Effect: policy.Idempotent},
		{Deadline: 9 * time.Second, Effect: policy.IdempotentWithKey, IdempotencyWindow: 2 * time.Second},
		{Deadline: 9 * time.Second, Effect: policy.NotIdempotent, Ordered: true},
	}
	list := policy.EndpointsUpdated{Complete: true,
		Endpoints: []policy.Endpoint{{ID: "a", Weight: 3}, {ID: "b", Weight: 3}}}
	arrive := func(id string, class int) policy.Event {
		return policy.Arrived{ID: id, Class: class, TimeLeft: s.Classes[class].Deadline, Key: "k"}
	}
	send := func(id string) policy.Action { return policy.Send{ID: id, Endpoint: "a"} }
	type step struct {
		at      time.Duration
		events  []policy.Event
		actions []policy.Action
	}
	ended := func(id string, n int, o policy.Outcome) policy.Event {
		return policy.AttemptEnded{ID: id, Endpoint: "a", Attempt: n, Outcome: o}
	}
	var probes []step
	for i := range 40 {
		id := fmt.Sprint("m", i)
		at := time.Duration(i) * 50 * time.Millisecond
		probes = append(probes, step{at, []policy.Event{list, arrive(id, 0)}, []policy.Action{send(id)}},
			step{at, []policy.Event{ended(id, 0, policy.ConnectError)}, nil})
	}
	tests := map[string][]step{
		"1: not ended": {{0, []policy.Event{list, arrive("m", 0)}, nil}, {6 * time.Second, nil, nil}},
		"1: ended twice": {{0, []policy.Event{arrive("m", 0)},
			[]policy.Action{policy.Fail{ID: "m"}, policy.Reject{ID: "m"}}}},
		"1: sent after its end": {{0, []policy.Event{list, arrive("m", 0)},
			[]policy.Action{policy.Fail{ID: "m"}, send("m")}}},
		"2: two attempts in flight": {{0, []policy.Event{list, arrive("m", 0)},
			[]policy.Action{send("m"), send("m")}}},
		"2: non-idempotent sent again": {
			{0, []policy.Event{list, arrive("m", 2)}, []policy.Action{send("m")}},
			{1, []policy.Event{ended("m", 0, policy.Failed)}, []policy.Action{send("m")}}},
		"2: non-idempotent rejected after an attempt": {
			{0, []policy.Event{list, arrive("m", 2)}, []policy.Action{send("m")}},
			{1, []policy.Event{ended("m", 0, policy.Reset)}, []policy.Action{policy.Reject{ID: "m"}}}},
		"2: sent after idempotency window": {
			{0, []policy.Event{list, arrive("m", 1)}, []policy.Action{send("m")}},
			{3 * time.Second, []policy.Event{ended("m", 0, policy.TimedOut)}, []policy.Action{send("m")}}},
		"3: sent to a draining endpoint": {{0, []policy.Event{list, arrive("m", 0),
			policy.EndpointsUpdated{Endpoints: []policy.Endpoint{
				{ID: "a", Draining: true}}}}, []policy.Action{send("m")}}},
		"4: too many calls in an outage": probes,
		"5: two messages of a key in flight": {{0, []policy.Event{list, arrive("m", 2), arrive("n", 2)},
			[]policy.Action{send("m"), send("n")}}},
		"6: sent within Retry-After": {{0, []policy.Event{list, arrive("m", 0)}, []policy.Action{send("m")}},
			{1, []policy.Event{policy.AttemptEnded{ID: "m", Endpoint: "a", Outcome: policy.Rejected,
				RetryAfter: time.Second}},
				[]policy.Action{send("m")}}},
	}
	names := make([]string, 0, len(tests))
	for name := range tests {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		c := newRuleChecker(s)
		var err error
		for _, st := range tests[name] {
			c.observe(st.at, st.events)
			if err = c.check(st.actions); err != nil {
				break
			}
		}
		if err == nil {
			t.Errorf("%s: the checker reported no violation", name)
		}
	}
}
