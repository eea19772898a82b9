package policy

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"milletsail/internal/instant"
)

const ms = time.Millisecond

// plain are settings with one safe class, and room for everything.
func plain() Settings {
	return Settings{FleetSize: 1, Slots: 4, QueueCapacity: 100, MaxAttempts: 8, CanCancel: true,
		BatchInterval: 5 * ms, SlowStartInitialShare: 0.2, SlowStartWindow: 10 * time.Second, OverloadFactor: 2, OverloadWindow: 2 * time.Second,
		MaxRetryAfter: 3 * time.Second, Kinds: []Kind{{MaxBatch: 1}, {MaxBatch: 5}, {MaxBatch: 1, SeparateRoutes: true}},
		Classes: []Class{{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1, Effect: Idempotent},
			{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1, Effect: IdempotentWithKey, IdempotencyWindow: 4 * time.Second},
			{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1, Effect: NotIdempotent, Ordered: true}}}
}

func start(t *testing.T, s Settings, eps ...Endpoint) *Dispatcher {
	t.Helper()
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	d.Handle(0, []Event{EndpointsUpdated{Complete: true, Endpoints: eps}})
	return d
}

func arrive(id string, class int) Event {
	return Arrived{ID: id, Class: class, TimeLeft: 10 * time.Second, Key: "k"}
}

// said lists actions in short, without timers and time-outs.
func said(actions []Action) string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			out = append(out, a.ID+">"+a.Endpoint)
		case Reject:
			out = append(out, "refuse "+a.ID)
		case Fail:
			out = append(out, "fail "+a.ID)
		case Cancel:
			out = append(out, fmt.Sprintf("cancel %s/%d", a.ID, a.Attempt))
		case Subscribe:
			out = append(out, "subscribe")
		}
	}
	return strings.Join(out, " ")
}

func expect(t *testing.T, what string, actions []Action, want string) {
	t.Helper()
	if got := said(actions); got != want {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

// Messages of one call are marked as such, and a call holds no more than its number and its size allow.
func TestMessagesOfACall(t *testing.T) {
	s := plain()
	s.MaxBatchBytes = 100
	d := start(t, s, Endpoint{ID: "a", Kind: 1})
	var events []Event
	for i, size := range []int{30, 30, 30, 30, 90} {
		events = append(events, Arrived{ID: fmt.Sprint(i), TimeLeft: 10 * time.Second, Size: size})
	}
	calls := map[int]string{}
	for _, a := range d.Handle(moment(ms), events) {
		if a, ok := a.(Send); ok {
			calls[a.Call] += a.ID
		}
	}
	got := slices.Sorted(maps.Values(calls))
	if want := []string{"012", "3"}; !slices.Equal(got, want) {
		t.Errorf("calls %q, want %q", got, want)
	}
}

// The end of one message's time ends the call for all: those that may run out of time before a usual call ends travel with
// their like, and the others are not given up with them.
func TestLittleTimeInACall(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a", Kind: 1})
	d.Handle(moment(ms), []Event{arrive("first", 0)})
	d.Handle(moment(time.Second), []Event{AttemptEnded{ID: "first", Endpoint: "a", Outcome: OK, Latency: time.Second, Completed: true}})
	var events []Event
	for _, m := range []struct {
		id   string
		left time.Duration
	}{{"s1", 2 * time.Second}, {"l1", 9 * time.Second}, {"s2", 2500 * ms}, {"l2", 8 * time.Second}} {
		events = append(events, Arrived{ID: m.id, TimeLeft: m.left})
	}
	calls := map[int]string{}
	for _, a := range d.Handle(moment(1100*ms), events) {
		if a, ok := a.(Send); ok {
			calls[a.Call] += a.ID
		}
	}
	if got, want := slices.Sorted(maps.Values(calls)), []string{"l1l2", "s1s2"}; !slices.Equal(got, want) {
		t.Errorf("calls %q, want %q", got, want)
	}
}

// Held messages that travel together take the time of their calls, not a call's time each.
func TestBacklogCountsCalls(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a", Kind: 1})
	d.Handle(moment(ms), []Event{arrive("first", 0)})
	d.Handle(moment(time.Second), []Event{AttemptEnded{ID: "first", Endpoint: "a", Outcome: OK, Latency: time.Second, Completed: true}})
	d.Handle(moment(2*time.Second), []Event{arrive("refused", 0)})
	d.Handle(moment(2100*ms), []Event{AttemptEnded{ID: "refused", Endpoint: "a", Outcome: Rejected, RetryAfter: time.Second, Latency: 100 * ms}})
	var events []Event
	for i := range 7 { // with the one held that are two calls of a second
		events = append(events, arrive(fmt.Sprint("m", i), 0))
	}
	expect(t, "two calls ahead, with ten seconds left", d.Handle(moment(2200*ms), events), "")
	for i := range 100 {
		events = append(events, arrive(fmt.Sprint("n", i), 0))
	}
	if got := said(d.Handle(moment(2300*ms), events)); !strings.Contains(got, "refuse") {
		t.Error("twenty calls ahead: nothing refused")
	}
}

// A wait that comes with a delivery binds as one that comes with a refusal.
func TestWaitWithDelivery(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	d.Handle(moment(ms), []Event{arrive("m", 0)})
	d.Handle(moment(100*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true, RetryAfter: time.Second}})
	expect(t, "while it waits", d.Handle(moment(200*ms), []Event{arrive("n", 0)}), "")
	expect(t, "after it", d.Handle(moment(1100*ms), []Event{TimerFired{}}), "n>a")
}

// The client of a message that is given up learns when its destination may get messages again.
func TestGivenUpToldWhenToComeBack(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	d.Handle(moment(ms), []Event{arrive("m", 0)})
	d.Handle(moment(8600*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected, RetryAfter: 2400 * ms}})
	for _, a := range d.Handle(moment(10*time.Second), []Event{TimerFired{}}) {
		if a, ok := a.(Reject); ok {
			if a.RetryAfter != time.Second {
				t.Errorf("told to come again after %v, want the rest of the wait", a.RetryAfter)
			}
			return
		}
	}
	t.Error("not given up")
}

// A wait stops the calls that a backlog is worked off with, but they all come back after it: what is held is not
// taken for work of one call after another.
func TestBacklogInAWait(t *testing.T) {
	s := plain()
	s.Slots = 20
	d := start(t, s, Endpoint{ID: "a"})
	now := time.Duration(0)
	round := func(n int, e AttemptEnded) []Event { // n calls out at once, all ended after a second
		var in, out []Event
		for i := range n {
			id := fmt.Sprint(now, "/", i)
			in = append(in, arrive(id, 0))
			e.ID, e.Endpoint = id, "a"
			out = append(out, e)
		}
		d.Handle(moment(now), in)
		now += time.Second
		return out
	}
	for range 10 {
		d.Handle(moment(now), round(8, AttemptEnded{Outcome: OK, Latency: time.Second, Completed: true}))
		now += 9 * time.Second
	}
	d.Handle(moment(now), round(10, AttemptEnded{Outcome: Rejected, RetryAfter: 2 * time.Second, Latency: time.Second}))
	expect(t, "10 held, 2 s to wait, some calls of a second at once", d.Handle(moment(now+ms), []Event{arrive("m", 0)}), "")
}

// Messages for destinations that are out leave a part of the holding room to those for others.
func TestRoomBesideAnOutage(t *testing.T) {
	s := plain()
	s.QueueCapacity = 8
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1}, Endpoint{ID: "c", Destination: 2})
	for _, id := range []string{"a", "b", "c"} {
		d.eject(d.endpoints[id])
		d.endpoints[id].tokens = -100 // no trial is due
	}
	d.Handle(0, []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "d", Destination: 3}}}})
	var all []Action
	for i := range 9 {
		all = append(all, d.Handle(moment(ms), []Event{Arrived{ID: fmt.Sprint(i), Destination: i % 3, TimeLeft: time.Hour}})...)
	}
	all = append(all, d.Handle(moment(ms), []Event{Arrived{ID: "other", Destination: 3, TimeLeft: time.Hour}})...)
	expect(t, "the last quarter is for the other", all, "refuse 6 refuse 7 refuse 8 other>d")
}

func TestRefusing(t *testing.T) {
	tests := []struct {
		name         string
		u, x, τ, net float64
		held, want   bool
	}{
		{"u exactly τ", 2, 0.1, 2, 0, true, false},
		{"u above τ", 2.01, 0.1, 2, 0, false, true},
		{"nothing held", 0, 5, 3, 1, false, false},
		{"bound met exactly: 2(1.5+1-2) = 1", 1.5, 1, 2, 2, true, true},
		{"bound missed: 2(1.4+1-2) = 0.8", 1.4, 1, 2, 2, true, false},
		{"λ = r: no bound", 1.9, 5, 2, 0, true, false},
		{"λ below r: no bound", 1.9, 5, 2, -1, true, false},
		{"static rule: x = τ + 1/(λ-r)", 0.001, 2.5, 2, 2, true, true},
		{"no time left and idle", 0, 0.1, -0.1, 1, false, true},
		{"held, but u is 0", 0, 9, 2, 2, true, false},
	}
	for _, tt := range tests {
		if got := exceedsDelayBound(tt.u, tt.x, tt.τ, tt.net, tt.held); got != tt.want {
			t.Errorf("%s: got %v", tt.name, got)
		}
	}
}

func TestBacklog(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	q := d.queues[0]
	if u := d.queueingDelay(q); u != 0 {
		t.Errorf("idle: u = %v, want 0", u)
	}
	q.mean = 0.5
	q.waiting = make([]*message, 6)
	if u := d.queueingDelay(q); u != 3 {
		t.Errorf("six held, none out: u = %v, want 6 × 0.5", u)
	}
	q.calls = []*call{{endpoint: q.endpoints[0]}, {endpoint: q.endpoints[0]}}
	if u := d.queueingDelay(q); u != 1.5 {
		t.Errorf("six held, two out: u = %v, want 6 × 0.5 / 2", u)
	}
	d.now = moment(5500 * ms) // both calls have been out for 5.5 s: 0.5 + 0.1×5, then 1 + 0.1×4.5
	if got := d.currentLatency(q); math.Abs(got-1.45) > 1e-9 {
		t.Errorf("calls out count with their age: %v, want 1.45", got)
	}
	q.retryAfterUntil = d.now.Add(8 * time.Second)
	if u := d.queueingDelay(q); u != 8 {
		t.Errorf("in a wait: u = %v, want the 8 s that remain", u)
	}
}

func TestRatesAndVirtualCopy(t *testing.T) {
	var a decayingCounter
	if a.rate(0) != 0 {
		t.Error("a fresh counter has a rate")
	}
	for i := range 400 {
		a.add(moment(time.Duration(i)*100*ms), 1)
	}
	if got := a.rate(moment(40 * time.Second)); math.Abs(got-10) > 0.3 {
		t.Errorf("ten a second: rate %v", got)
	}
	d := start(t, plain(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.mean = 2
	for i, want := range []float64{0, 0, 1, 1} { // work 0, 2 and 4 against τ = 3; a miss adds none
		d.recordVirtualArrival(q, 3)
		if q.misses.value != want {
			t.Errorf("arrival %d: %v misses of the copy, want %v", i, q.misses.value, want)
		}
		if i == 2 {
			d.now = moment(2 * time.Second) // the copy's work drains to 2
		}
	}
}

func TestFreshDispatcherUsesTheBasicRuleAlone(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	expect(t, "first message", d.Handle(0, []Event{arrive("m", 0)}), "m>a")
	if λ, r := d.queues[0].arrivals.rate(0), d.queues[0].misses.rate(0); λ <= 0 || r != 0 {
		t.Errorf("λ = %v, r = %v", λ, r)
	}
}

func TestTurns(t *testing.T) {
	s := plain()
	s.Slots = 3
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	other := Arrived{ID: "n", Destination: 1, TimeLeft: time.Second}
	expect(t, "fewest calls out first", d.Handle(0, []Event{arrive("m1", 0), arrive("m2", 0), arrive("m3", 0), other}),
		"m1>a n>b m2>a")
}

func TestEffects(t *testing.T) {
	tests := []struct {
		class   int
		outcome Outcome
		want    string
	}{
		{0, OK, ""}, {0, Failed, "m>a"}, {0, TimedOut, "m>a"}, {0, Reset, "m>a"}, {0, Canceled, "m>a"},
		{0, ConnectError, "m>a"}, {0, NotSent, "m>a"}, {0, Rejected, ""},
		{1, OK, ""}, {1, Failed, "m>a"}, {1, TimedOut, "m>a"}, {1, ConnectError, "m>a"},
		{2, OK, ""}, {2, Failed, "fail m"}, {2, TimedOut, "fail m"}, {2, Reset, "fail m"}, {2, Canceled, "fail m"},
		{2, ConnectError, "m>a"}, {2, NotSent, "m>a"},
	}
	for _, tt := range tests {
		d := start(t, plain(), Endpoint{ID: "a"})
		expect(t, "arrival", d.Handle(0, []Event{arrive("m", tt.class)}), "m>a")
		got := d.Handle(moment(time.Second), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: tt.outcome, Completed: tt.outcome == OK}})
		expect(t, fmt.Sprintf("class %d, outcome %d", tt.class, tt.outcome), got, tt.want)
	}
}

func TestKeyedEndsWithItsMemory(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	d.Handle(0, []Event{arrive("m", 1)})
	got := d.Handle(moment(3995*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: TimedOut}})
	expect(t, "memory gone", got, "refuse m")
}

// A call that brings a message again has to be written while the receiver knows it: its connection may take long.
func TestKeyedWrittenWithinItsMemory(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	within := func(actions []Action) time.Duration { return actions[0].(Send).WriteTimeout }
	if got := within(d.Handle(0, []Event{arrive("m", 1)})); got != 0 {
		t.Errorf("first attempt: within %v", got)
	}
	if got := within(d.Handle(moment(time.Second), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: ConnectError}})); got != 0 {
		t.Errorf("after one that never ran: within %v", got)
	}
	again := d.Handle(moment(3*time.Second), []Event{AttemptEnded{ID: "m", Endpoint: "a", Attempt: 1, Outcome: Reset}})
	if got := within(again); got != 2*time.Second-10*ms {
		t.Errorf("after one that may have run: within %v", got)
	}
	safe := start(t, plain(), Endpoint{ID: "a"})
	safe.Handle(0, []Event{arrive("m", 0)})
	if got := within(safe.Handle(moment(time.Second), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Reset}})); got != 0 {
		t.Errorf("a safe class: within %v", got)
	}
}

func TestUnsafeHasNoEarlyTimeout(t *testing.T) {
	for i, want := range []bool{true, true, false} {
		d := start(t, plain(), Endpoint{ID: "a"})
		got := d.Handle(0, []Event{Arrived{ID: fmt.Sprint("m", i), Class: i, TimeLeft: 10 * time.Second}})
		if send := got[0].(Send); (send.Timeout > 0) != want {
			t.Errorf("class %d: time-out %v", i, send.Timeout)
		}
	}
}

func TestHeldMessagesEndInTime(t *testing.T) {
	d := start(t, plain())
	got := d.Handle(0, []Event{arrive("m", 2)})
	expect(t, "no endpoint listed", got, "")
	at := got[len(got)-1].(SetTimer).After
	if at > 10*time.Second || at < 9900*ms {
		t.Errorf("timer after %v", at)
	}
	expect(t, "before its end", d.Handle(moment(at-ms), []Event{TimerFired{}}), "")
	expect(t, "at its end", d.Handle(moment(at), []Event{TimerFired{}}), "refuse m")
	expect(t, "late outcome", d.Handle(moment(at+ms), []Event{AttemptEnded{ID: "m", Outcome: OK}}), "")
}

func TestDrains(t *testing.T) {
	s := plain()
	s.Slots = 8
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b"})
	d.Handle(0, []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "a", Draining: true}}}})
	expect(t, "draining", d.Handle(1, []Event{arrive("m", 0), arrive("n", 0)}), "m>b n>b")
	d.Handle(2, []Event{EndpointsUpdated{Complete: true, Endpoints: []Endpoint{{ID: "c"}}}})
	expect(t, "gone", d.Handle(3, []Event{arrive("o", 0)}), "o>c")
}

func TestOrder(t *testing.T) {
	s := plain()
	s.OrderedKeyDelay = 300 * ms
	d := start(t, s, Endpoint{ID: "a"})
	expect(t, "one of a key at a time", d.Handle(0, []Event{arrive("m", 2), arrive("n", 2)}), "m>a")
	expect(t, "a time-out rests the key", d.Handle(moment(time.Second), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: TimedOut}}),
		"fail m")
	expect(t, "still resting", d.Handle(moment(1299*ms), []Event{TimerFired{}}), "")
	expect(t, "rested", d.Handle(moment(1300*ms), []Event{TimerFired{}}), "n>a")
}

func TestWaits(t *testing.T) {
	for _, tt := range []struct {
		kind int
		want string
	}{{0, ""}, {2, "n>b"}} { // a shared limit binds the destination, a route only itself
		d := start(t, plain(), Endpoint{ID: "a", Kind: tt.kind}, Endpoint{ID: "b", Kind: tt.kind})
		d.Handle(0, []Event{arrive("m", 0)})
		d.Handle(moment(ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected, RetryAfter: time.Second}, Withdrawn{ID: "m"}})
		expect(t, fmt.Sprint("kind ", tt.kind), d.Handle(moment(500*ms), []Event{arrive("n", 0)}), tt.want)
	}
}

// TestWaitOfABundle guards against a wait that is told with the first of several outcomes of one call.
// A wait binds calls that were decided before it and are not written yet, at all endpoints of the destination.
func TestWaitWithholdsCalls(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"}, Endpoint{ID: "b"}, Endpoint{ID: "c", Destination: 1})
	other := Arrived{ID: "m3", Destination: 1, TimeLeft: 10 * time.Second}
	expect(t, "sent", d.Handle(0, []Event{arrive("m1", 0), arrive("m2", 0), other}), "m1>a m3>c m2>b")
	var held []string
	for _, a := range d.Handle(moment(time.Second), []Event{AttemptEnded{ID: "m1", Endpoint: "a", Outcome: Rejected, RetryAfter: time.Second}}) {
		if a, ok := a.(CancelUnwritten); ok {
			held = append(held, a.Endpoint)
		}
	}
	if !slices.Equal(held, []string{"a", "b"}) {
		t.Errorf("withheld: %v", held)
	}
}

func TestWaitOfABundle(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a", Kind: 1})
	expect(t, "one call", d.Handle(0, []Event{arrive("m", 0), arrive("n", 0)}), "m>a n>a")
	if d.callsInFlight != 1 {
		t.Errorf("%d calls out, want one bundle", d.callsInFlight)
	}
	got := d.Handle(moment(ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected, RetryAfter: time.Second}, arrive("o", 0)})
	expect(t, "in the wait", got, "")
}

// TestReturn plays each kind of outage: trials stay within the rule's budget, and a success starts a ramp.
func TestReturn(t *testing.T) {
	s := plain()
	s.Weights = WeightsNominal
	for _, outcome := range []Outcome{ConnectError, Failed, Reset, Rejected, TimedOut} {
		d := start(t, s, Endpoint{ID: "a", Weight: 5})
		sends, out := 0, map[string]int{}
		for now := time.Duration(0); now < 24*time.Second; now += 20 * ms {
			var events []Event
			for id, n := range out {
				events = append(events, AttemptEnded{ID: id, Endpoint: "a", Attempt: n, Outcome: outcome})
			}
			out = map[string]int{}
			if now%(200*ms) == 0 {
				events = append(events, Arrived{ID: fmt.Sprint(now), TimeLeft: 10 * time.Second})
			}
			for _, a := range d.Handle(moment(now), events) {
				if a, ok := a.(Send); ok {
					out[a.ID] = len(d.messages[a.ID].attempts) - 1
					if now >= 20*time.Second {
						sends++
					}
				}
			}
		}
		// In 4 s a cold destination may take 2 × 0.2 × 5 × 4 = 8 calls.
		if sends > 8 || sends == 0 {
			t.Errorf("outcome %d: %d calls in 4 s of an outage", outcome, sends)
		}
	}
}

func TestRampAfterSuccess(t *testing.T) {
	s := plain()
	s.Weights, s.Slots = WeightsNominal, 40
	d := start(t, s, Endpoint{ID: "a", Weight: 10})
	ep := d.endpoints["a"]
	d.now = moment(time.Second)
	d.eject(ep)
	d.recordSuccess(ep, true)
	if got, want := d.slowStartBudget(ep, 0), slowStartSafety*2*0.2*10; math.Abs(got-want) > 1e-9 {
		t.Errorf("budget at the return: %v, want %v", got, want)
	}
	if got, want := d.slowStartBudget(ep, 10*time.Second), slowStartSafety*2*10; math.Abs(got-want) > 1e-9 {
		t.Errorf("budget when warm: %v, want %v", got, want)
	}
	d.now = moment(12 * time.Second)
	if d.slowStartTokens(ep); ep.slowStarting {
		t.Error("still ramping after the ramp time")
	}
}

// TestConnectionCap guards against taking a connection limit for an outage.
func TestConnectionCap(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	d.Handle(0, []Event{arrive("m1", 0), arrive("m2", 0)})
	d.Handle(moment(10*ms), []Event{AttemptEnded{ID: "m1", Endpoint: "a", Outcome: OK, Completed: true}, arrive("m3", 0)})
	d.Handle(moment(20*ms), []Event{AttemptEnded{ID: "m2", Endpoint: "a", Outcome: ConnectError}})
	ep := d.endpoints["a"]
	if ep.ejected || ep.consecutiveFailures > 0 || ep.connectionLimit != 1 {
		t.Errorf("sick %v, failures %v, cap %v", ep.ejected, ep.consecutiveFailures, ep.connectionLimit)
	}
	for range 20 {
		d.recordSuccess(ep, true)
	}
	if ep.connectionLimit < 1.9 {
		t.Errorf("cap %v after twenty successes", ep.connectionLimit)
	}
}

// TestLostCallIsSentAgain guards against single lost calls: one that a later call has overtaken is
// called off; one that nothing has overtaken stays while slots are free.
func TestLostCallIsSentAgain(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.record(0, 0.1)
	d.Handle(0, []Event{arrive("lost", 0)})
	d.Handle(moment(50*ms), []Event{arrive("m", 0)})
	expect(t, "nothing overtook it", d.Handle(moment(140*ms), []Event{TimerFired{}}), "")
	d.Handle(moment(150*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true}})
	expect(t, "overtaken and late", d.Handle(moment(700*ms), []Event{TimerFired{}}), "cancel lost/0")
	expect(t, "sent again", d.Handle(moment(705*ms), []Event{AttemptEnded{ID: "lost", Endpoint: "a", Outcome: Canceled}}), "lost>a")
}

// TestStuckSlotIsTakenBack guards against hangs that fill the slots.
func TestStuckSlotIsTakenBack(t *testing.T) {
	s := plain()
	s.Slots = 2
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1}, Endpoint{ID: "c", Destination: 2})
	d.queues[0].record(0, 0.1)
	d.queues[1].record(0, 0.1)
	at := func(id string, dest int) Event { return Arrived{ID: id, Destination: dest, TimeLeft: 10 * time.Second} }
	d.Handle(0, []Event{at("m", 0)})
	d.Handle(moment(100*ms), []Event{at("n", 1)})
	expect(t, "no slot is wanted", d.Handle(moment(900*ms), []Event{TimerFired{}}), "")
	expect(t, "one is wanted", d.Handle(moment(1000*ms), []Event{at("o", 2)}), "cancel m/0")
}

// TestPaceFollows guards against a pace that is cut by refusals and never comes back, one that rises although the
// destination reports that its allowance is used up, and one that a limit far below the listed rate does not reach.
func TestPaceFollows(t *testing.T) {
	s := plain()
	s.Weights, s.FleetSize = WeightsNominal, 4
	d := start(t, s, Endpoint{ID: "a", Weight: 8})
	q := d.queues[0]
	if q.sendRate != 2 {
		t.Fatalf("pace %v, want 8 / 4", q.sendRate)
	}
	refused := func(at time.Duration) {
		d.now = moment(at)
		d.recordRejection(q, limitMessage{})
	}
	refused(time.Second)
	cut := q.sendRate
	if refused(1100 * ms); !(cut < 2) || q.sendRate != cut {
		t.Errorf("pace %v after a refusal, %v after another of the same moment", cut, q.sendRate)
	}
	q.waiting = []*message{{}}
	d.now = moment(4 * time.Second)
	d.recordSuccess(d.endpoints["a"], false)
	slow := d.now
	d.sendTokens(q)
	if d.now = d.now.Add(500 * ms); d.now.Sub(q.decreasedAt) > 1500*ms || q.decreasedAt >= slow {
		t.Errorf("calm since %v, without room at %v", q.decreasedAt, slow)
	}
	for range 40 {
		d.now = d.now.Add(500 * ms)
		d.sendTokens(q)
	}
	if q.sendRate < 2 {
		t.Errorf("pace %v after 20 s in calm, want the even share back", q.sendRate)
	}
	for i := range 30 {
		refused(time.Duration(d.now.Add(time.Duration(1+i%2) * time.Second)))
	}
	if q.sendRate > 0.5 {
		t.Errorf("pace %v after refusals for 45 s: a quarter of the listed rate is not reached", q.sendRate)
	}
}

// TestShutIsCold guards against relays that wait as told while a destination is shut, and come back all at once as to
// a warm one; and against an answer to a call from before that ends the outage.
func TestShutIsCold(t *testing.T) {
	s := plain()
	s.Weights, s.Slots = WeightsNominal, 8
	d := start(t, s, Endpoint{ID: "a", Weight: 8})
	ep := d.endpoints["a"]
	d.Handle(moment(500*ms), []Event{arrive("n", 0)})
	d.Handle(moment(600*ms), []Event{AttemptEnded{ID: "n", Endpoint: "a", Outcome: Rejected, RetryAfter: 2 * time.Second}})
	if ep.ejected {
		t.Error("a wait as long as a span of counting is taken for an outage")
	}
	d.Handle(moment(3400*ms), []Event{arrive("m", 0)})
	d.Handle(moment(3500*ms), []Event{arrive("o", 0)})
	d.Handle(moment(3600*ms), []Event{AttemptEnded{ID: "o", Endpoint: "a", Outcome: Rejected, RetryAfter: 6 * time.Second}})
	d.Handle(moment(3700*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true}})
	if !ep.ejected {
		t.Error("a destination that told a wait of 6 s is not taken for shut")
	}
	sent := 0
	for at := 9300 * ms; at < 11600*ms; at += 100 * ms {
		for _, a := range d.Handle(moment(at), []Event{arrive(fmt.Sprint("p", at), 0)}) {
			if _, ok := a.(Send); ok {
				sent++
			}
		}
	}
	most := int(s.OverloadFactor * s.SlowStartInitialShare * 8 * s.OverloadWindow.Seconds())
	if sent == 0 || sent > most {
		t.Errorf("%d calls as it opens, want some and %d at most", sent, most)
	}
}

func TestRoutes(t *testing.T) {
	s := plain()
	s.ZoneCost = []float64{0.06, 0}
	d := start(t, s, Endpoint{ID: "a", Kind: 2}, Endpoint{ID: "b", Kind: 2, Zone: 1})
	expect(t, "the cheaper of two idle routes", d.Handle(0, []Event{arrive("m", 0)}), "m>b")
	d.queues[1].mean, d.queues[1].byClass[0] = 5, 5
	expect(t, "the faster at a fee", d.Handle(0, []Event{arrive("n", 0)}), "n>a")
}

func TestSubscribe(t *testing.T) {
	s := plain()
	s.Subscribe = true
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	expect(t, "at the start", d.Handle(0, nil), "subscribe")
	expect(t, "failed", d.Handle(moment(ms), []Event{WatchFailed{}}), "")
	expect(t, "again", d.Handle(moment(ms+resubscribeDelay), []Event{TimerFired{}}), "subscribe")
}

func TestSettingsThatMakeNoSense(t *testing.T) {
	tests := []struct {
		field string
		spoil func(*Settings)
	}{
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[0].Deadline", func(s *Settings) { s.Classes[0].Deadline = -1 }},
		{"Classes[1].Memory", func(s *Settings) { s.Classes[1].IdempotencyWindow = -1 }},
		{"Classes[2].Effect", func(s *Settings) { s.Classes[2].Effect = 7 }},
		{"Slots", func(s *Settings) { s.Slots = 0 }},
		{"Instances", func(s *Settings) { s.FleetSize = 0 }},
		{"HoldRoom", func(s *Settings) { s.QueueCapacity = 0 }},
		{"Weights", func(s *Settings) { s.Weights = 9 }},
		{"OrderPause", func(s *Settings) { s.OrderedKeyDelay = -1 }},
	}
	for _, tt := range tests {
		s := plain()
		tt.spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), tt.field) {
			t.Errorf("%s: error %v", tt.field, err)
		}
	}
}

func TestUnknownThingsChangeNothing(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	got := d.Handle(moment(time.Second), []Event{AttemptEnded{ID: "x"}, Withdrawn{ID: "x"},
		Arrived{ID: "y", Class: 99}, EndpointsUpdated{Endpoints: []Endpoint{{ID: "z", Removed: true}}}})
	expect(t, "unknown", got, "")
	d.Handle(0, []Event{TimerFired{}}) // a clock that goes back
	if d.now != moment(time.Second) {
		t.Errorf("the clock went back to %v", d.now)
	}
}

// TestLateRuleUnderOverload guards against a queue that serves everybody late, and against patient
// messages that fill it before urgent ones worth more.
func TestLateRuleUnderOverload(t *testing.T) {
	s := plain()
	s.Classes = []Class{
		{LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 2},                           // four fifths left at 1.8 s
		{LatencyObjective: 4 * time.Second, Deadline: 16 * time.Second, PriorityWeight: 1, LateValueShare: 0.5}, // and at 8.8 s
		{LatencyObjective: 4 * time.Second, Deadline: 16 * time.Second, PriorityWeight: 4, LateValueShare: 0.5},
	}
	tests := []struct {
		class    int
		overload bool
		held     int // at half a second each
		refused  bool
	}{
		{0, false, 8, false}, {0, true, 3, false}, {0, true, 5, true},
		{1, false, 20, false}, {1, true, 3, false}, {1, true, 5, true}, // class 0 is worth more
		{2, true, 17, false}, {2, true, 19, true},
	}
	for _, tt := range tests {
		d := start(t, s, Endpoint{ID: "a"})
		q := d.queues[0]
		q.mean = 0.5
		for range tt.held {
			q.waiting = append(q.waiting, &message{class: &s.Classes[1], expiresAt: moment(time.Hour), queue: q})
		}
		if tt.overload {
			q.arrivals.add(0, 100)
		}
		m := &message{Arrived: Arrived{ID: "m", Class: tt.class}, class: &d.settings.Classes[tt.class],
			expiresAt: moment(d.settings.Classes[tt.class].Deadline)}
		d.unfinished = append(d.unfinished, m)
		q.misses.add(0, 1000) // λ - r < 0: the bound stays out of it
		d.admit(m)
		if m.done != tt.refused {
			t.Errorf("class %d, overload %v, %d held: refused %v", tt.class, tt.overload, tt.held, m.done)
		}
	}
}

// TestNoAttemptWithoutTime guards against attempts that take a slot and cannot end in time.
func TestNoAttemptWithoutTime(t *testing.T) {
	d := start(t, plain())
	d.Handle(0, []Event{arrive("m", 0)})
	d.queues[0].record(0, 0.5)
	expect(t, "0.6 s left, 0.5 s needed", d.Handle(moment(9400*ms), []Event{TimerFired{}}), "")
	expect(t, "0.4 s left, 0.5 s needed", d.Handle(moment(9600*ms), []Event{TimerFired{}}), "refuse m")
}

// TestGrayErrors guards against taking a share of failing calls for an outage.
func TestGrayErrors(t *testing.T) {
	tests := []struct {
		outcome Outcome
		n       int
		sick    bool
	}{{Reset, 3, false}, {Reset, 4, true}, {Failed, 3, false}, {ConnectError, 1, false}, {ConnectError, 2, true}}
	for _, tt := range tests {
		d := start(t, plain(), Endpoint{ID: "a"})
		d.Handle(0, []Event{arrive("m", 0)})
		for i := range tt.n {
			d.Handle(moment(time.Duration(i+1)*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Attempt: i, Outcome: tt.outcome}})
		}
		if got := d.endpoints["a"].ejected; got != tt.sick {
			t.Errorf("%d of outcome %d: sick %v", tt.n, tt.outcome, got)
		}
	}
}

// TestSiblingTrials guards against slow detection: outages mostly end for a whole destination.
func TestSiblingTrials(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
	a, b := d.endpoints["a"], d.endpoints["b"]
	d.eject(a)
	d.eject(b)
	if d.acceptsCall(b) {
		t.Error("a trial at once")
	}
	d.recordSuccess(a, true)
	if !d.acceptsCall(b) {
		t.Error("no trial after the sibling's return")
	}
}

// TestStuckFactor guards against slots lost to calls that will never be answered.
func TestStuckFactor(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	if got := d.stalledCallFactor(); got != unresponsiveFactor {
		t.Errorf("at the start: %v", got)
	}
	d.unansweredShare = 0.9
	if got := d.stalledCallFactor(); got != stalledFactor {
		t.Errorf("with late calls unanswered: %v", got)
	}
}

// TestRoom guards against one queue that fills the holding room.
func TestRoom(t *testing.T) {
	s := plain()
	s.QueueCapacity = 20
	d := start(t, s, Endpoint{ID: "b", Destination: 1}) // nothing is listed for destination 0
	refused := 0
	for i := range 20 {
		got := d.Handle(0, []Event{Arrived{ID: fmt.Sprint("m", i), TimeLeft: 10 * time.Second}})
		if strings.HasPrefix(said(got), "refuse") {
			refused++
		}
	}
	if refused != 5 {
		t.Errorf("%d of 20 refused, want those past three quarters of the room", refused)
	}
	expect(t, "another destination", d.Handle(0, []Event{Arrived{ID: "n", Destination: 1, TimeLeft: time.Second}}), "n>b")
}

// TestIdleConnectionsMakeRoom guards against many relays whose idle connections fill an endpoint, and against
// connections closed where nothing speaks for that.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	refused := []Event{GossipReceived{Message: encodeEndpointMessage(connectErrorType, "a")}}
	for _, tt := range []struct {
		name    string
		at      time.Duration // of a note that another relay got no connection; the call lasts from 1 s to 2 s
		connCap float64
		last    time.Duration // end of a later call
		closes  bool
	}{{"none refused", 0, 0, 3 * time.Second, false}, {"our own refused", 0, 2, 3 * time.Second, true},
		{"another's refused meanwhile", 1500 * ms, 0, 3 * time.Second, true},
		{"another's refused before, as in an outage", 500 * ms, 0, 3 * time.Second, false},
		{"another's refused long ago", 1500 * ms, 0, 15 * time.Second, false}} {
		s := plain()
		s.IdleConnTimeout, s.FleetSize = 10*time.Second, 40
		d := start(t, s, Endpoint{ID: "a"})
		if tt.at > 0 && tt.at < time.Second {
			d.Handle(moment(tt.at), refused)
		}
		d.Handle(moment(time.Second), []Event{arrive("m", 0)})
		if tt.at > time.Second {
			d.Handle(moment(tt.at), refused)
		}
		d.Handle(moment(2*time.Second), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true}})
		d.endpoints["a"].connectionLimit = tt.connCap
		d.Handle(moment(tt.last-500*ms), []Event{arrive("n", 0)})
		closes := false
		for _, a := range d.Handle(moment(tt.last), []Event{AttemptEnded{ID: "n", Endpoint: "a", Outcome: OK, Completed: true}}) {
			closes = closes || a == CloseIdleConnections{Endpoint: "a"}
		}
		if closes != tt.closes {
			t.Errorf("%s: closes %v", tt.name, closes)
		}
	}
}

// TestConnectionRefusedIsTold guards against a relay that alone knows of an endpoint without room, and against a note
// for each of its connections.
func TestConnectionRefusedIsTold(t *testing.T) {
	d := fleet(t, connectErrorReporters, 400)[0]
	told := 0
	for i := range 4 {
		at, id := time.Duration(10+3*i)*100*ms, fmt.Sprint("m", i)
		d.endpoints["a"].ejected, d.endpoints["a"].consecutiveFailures = false, 0
		d.Handle(moment(at), []Event{arrive(id, 0)})
		for _, a := range d.Handle(moment(at+10*ms), []Event{AttemptEnded{ID: id, Endpoint: "a", Outcome: ConnectError, Completed: true}}) {
			if tell, ok := a.(Broadcast); ok && decodeEndpointMessage(connectErrorType, tell.Message) == "a" {
				told++
			}
		}
	}
	if told != 1 {
		t.Errorf("%d notes within a second", told)
	}
}

// TestFewTellWhatAllMeet guards against a note from each relay of a fleet that meets the same outage.
func TestFewTellWhatAllMeet(t *testing.T) {
	told := 0
	for _, d := range fleet(t, 300, 3000) {
		d.Handle(moment(time.Second), []Event{arrive("m", 0)})
		for _, a := range d.Handle(moment(1010*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: ConnectError, Completed: true}}) {
			if tell, ok := a.(Broadcast); ok && decodeEndpointMessage(connectErrorType, tell.Message) == "a" {
				told++
			}
		}
	}
	if told < 1 || told > 3*connectErrorReporters {
		t.Errorf("%d relays of 300 told it", told)
	}
}

// TestEvenShares guards against paces that add up to more than the listed rate.
func TestEvenShares(t *testing.T) {
	for _, tt := range []struct {
		relays int
		want   float64
	}{{2, 2}, {400, 0.01}} {
		s := plain()
		s.FleetSize, s.Weights = tt.relays, WeightsNominal
		d := start(t, s, Endpoint{ID: "a", Weight: 4})
		if got := d.queues[0].sendRate; got != tt.want {
			t.Errorf("%d relays: pace %v, want %v", tt.relays, got, tt.want)
		}
	}
}

// TestRelaysDoNotKnockInStep guards against relays that are refused together and come back together.
func TestRelaysDoNotKnockInStep(t *testing.T) {
	s := plain()
	s.FleetSize, s.Weights = 400, WeightsNominal
	seen := map[instant.Time]bool{}
	for seed := range int64(5) {
		d, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		d.Handle(0, []Event{EndpointsUpdated{Complete: true, Endpoints: []Endpoint{{ID: "a", Weight: 4}}}, arrive("m", 0)})
		d.Handle(moment(ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected}})
		seen[d.queues[0].backoffUntil] = true
	}
	if len(seen) < 4 {
		t.Errorf("five relays come back at %d moments", len(seen))
	}
}

// TestNoTimerWithoutCause guards against a timer every tick while a queue with a free token waits for a slot.
func TestNoTimerWithoutCause(t *testing.T) {
	s := plain()
	s.Slots, s.Weights = 1, WeightsNominal
	d := start(t, s, Endpoint{ID: "a", Weight: 5})
	for _, a := range d.Handle(0, []Event{arrive("m", 0), arrive("n", 0)}) {
		if w, ok := a.(SetTimer); ok && w.After < time.Second {
			t.Errorf("timer after %v", w.After)
		}
	}
}

// TestLostUnsafeAnswerFreesItsSlot guards against answers lost at unsafe calls, which filled all slots.
func TestLostUnsafeAnswerFreesItsSlot(t *testing.T) {
	s := plain()
	s.Slots = 1
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	d.queues[0].record(2, 0.1)
	d.unansweredShare = 0.9
	d.Handle(0, []Event{Arrived{ID: "m", Class: 2, TimeLeft: 20 * time.Second}})
	expect(t, "no slot is wanted", d.Handle(moment(3*time.Second), []Event{TimerFired{}}), "")
	expect(t, "one is wanted", d.Handle(moment(3100*ms), []Event{Arrived{ID: "n", Destination: 1, TimeLeft: 9 * time.Second}}), "cancel m/0")
	expect(t, "never twice", d.Handle(moment(3105*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Canceled}}), "fail m n>b")
}

// TestBorrowedLatency guards against queues that know nothing: a lost first call would hold its slot to its end.
func TestBorrowedLatency(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	d.Handle(0, []Event{arrive("m", 0)})
	d.Handle(moment(400*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Latency: 400 * ms, Completed: true},
		Arrived{ID: "n", Destination: 1, TimeLeft: 10 * time.Second}})
	q := d.queues[1]
	if q.byClass[0] != 0.4 || q.mean != 0.4 {
		t.Errorf("b borrows %v, %v, want what a took", q.byClass[0], q.mean)
	}
	q.record(0, 0.2)
	if got := q.byClass[0]; math.Abs(got-0.3) > 1e-9 {
		t.Errorf("own first outcome counts half: %v, want 0.3", got)
	}
}

// TestTimerThatFiresEarly guards against a clock of coarser steps that uses up the timer of a last chance.
func TestTimerThatFiresEarly(t *testing.T) {
	d := start(t, plain())
	got := d.Handle(0, []Event{arrive("m", 0)})
	at := got[len(got)-1].(SetTimer).After
	got = d.Handle(moment(at-400), []Event{TimerFired{}})
	if len(got) != 1 || got[0].(SetTimer).After > 10*ms {
		t.Fatalf("400 ns early: %v, want another timer", got)
	}
}

// TestImpatientClients guards against taking little time left for age: under overload all were refused.
func TestImpatientClients(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.mean = 0.5
	q.arrivals.add(0, 100)
	q.misses.add(0, 1000) // λ - r < 0: the bound stays out of it
	expect(t, "2 s of 10 left, nothing held", d.Handle(0, []Event{Arrived{ID: "m", TimeLeft: 2 * time.Second}}), "m>a")
}

// TestOwnStall guards against holding a relay's own pause against its destinations.
func TestOwnStall(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.record(0, 0.1)
	d.Handle(0, []Event{arrive("m", 0)})
	d.Handle(moment(2*time.Second), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Latency: 100 * ms, Completed: true}})
	if math.Abs(q.mean-0.1) > 1e-9 || d.unansweredShare != 0 {
		t.Errorf("mean %v, unanswered %v after a pause of our own", q.mean, d.unansweredShare)
	}
}

// TestOneClassFailing guards against an endpoint that fails one class and serves the others.
func TestOneClassFailing(t *testing.T) {
	s := plain()
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b"})
	d.Handle(0, []Event{arrive("m", 0)})
	expect(t, "a retry goes to the sibling", d.Handle(moment(ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Failed}}), "m>b")
	d.Handle(moment(2*ms), []Event{AttemptEnded{ID: "m", Endpoint: "b", Attempt: 1, Outcome: OK, Completed: true}})
	expect(t, "so does its class", d.Handle(moment(3*ms), []Event{arrive("n", 0)}), "n>b")
	d.Handle(moment(4*ms), []Event{AttemptEnded{ID: "n", Endpoint: "b", Outcome: OK, Completed: true}})
	d.endpoints["a"].lastUsedAt = moment(4 * ms)
	expect(t, "others do not", d.Handle(moment(5*ms), []Event{arrive("o", 1)}), "o>a")
}

// TestOutageOfAllClassesEndsForAll guards against failures of an outage that are held against an endpoint for good, in
// the classes that happened to meet it.
func TestOutageOfAllClassesEndsForAll(t *testing.T) {
	s := plain()
	s.SlowStartWindow = time.Second
	d := start(t, s, Endpoint{ID: "a", Zone: 0}, Endpoint{ID: "b", Zone: 1})
	a := d.endpoints["a"]
	now := time.Duration(0)
	call := func(class int, atA Outcome) (first string) {
		now += 100 * ms
		id := fmt.Sprint(now)
		actions := d.Handle(moment(now), []Event{arrive(id, class)})
		for n := 0; len(actions) > 0 && n < 8; n++ {
			var ends []Event
			for _, x := range actions {
				if send, ok := x.(Send); ok {
					first = cmp.Or(first, send.Endpoint)
					e := AttemptEnded{ID: id, Endpoint: send.Endpoint, Attempt: n, Outcome: OK, Latency: 10 * ms}
					if send.Endpoint == "a" {
						e.Outcome = atA
					}
					ends = append(ends, e)
				}
			}
			now += 10 * ms
			actions = d.Handle(moment(now), ends)
		}
		return first
	}
	call(0, ConnectError)
	call(1, ConnectError)
	if !a.ejected {
		t.Fatal("an endpoint that takes no connection is not out")
	}
	for n := 0; n < 200 && (a.ejected || a.slowStarting); n++ {
		call(1, OK) // what of the other class is tried there brings it back
	}
	for range 20 {
		if call(0, OK) == "a" {
			return
		}
	}
	t.Error("messages of the class that met the outage never go there again")
}

// TestUrgentFirst guards against slots given to what can wait, where few slots make every turn a tie.
func TestUrgentFirst(t *testing.T) {
	s := plain()
	s.Slots = 1
	s.Classes[1].LatencyObjective = 8 * time.Second
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	expect(t, "one slot", d.Handle(0, []Event{Arrived{ID: "patient", Class: 1, TimeLeft: 10 * time.Second},
		Arrived{ID: "urgent", Destination: 1, TimeLeft: 10 * time.Second}}), "urgent>b")
}

// TestFewKnocksAtSize guards against hundreds of relays whose further knocks push over a destination that
// comes back cold: the even share of 4 calls a second is 0.01 for one of 400, and 2 for one of 2.
func TestFewKnocksAtSize(t *testing.T) {
	for _, tt := range []struct {
		relays      int
		outcome     Outcome
		wait        time.Duration
		least, most int // of 40 relays are sick after one
	}{{400, Rejected, 0, 10, 30}, {400, ConnectError, 0, 10, 30}, {400, Rejected, time.Second, 40, 40},
		{2, Rejected, 0, 0, 0}, {2, ConnectError, 0, 0, 0}} {
		sick := 0
		for seed := range int64(40) {
			s := plain()
			s.FleetSize, s.Weights = tt.relays, WeightsNominal
			d, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			d.Handle(0, []Event{EndpointsUpdated{Complete: true, Endpoints: []Endpoint{{ID: "a", Weight: 4}}}, arrive("m", 0)})
			d.Handle(moment(ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: tt.outcome, RetryAfter: tt.wait}})
			if d.endpoints["a"].ejected {
				sick++
			}
			d.recordRejection(d.queues[0], limitMessage{})
			if d.recordRejection(d.queues[0], limitMessage{}); tt.relays > 2 && !d.endpoints["a"].ejected {
				t.Errorf("%d relays, outcome %d: not sick after more", tt.relays, tt.outcome)
			}
		}
		if sick < tt.least || sick > tt.most {
			t.Errorf("%d relays, outcome %d, wait %v: %d of 40 sick", tt.relays, tt.outcome, tt.wait, sick)
		}
	}
}

// TestReplacedEndpointsAreForgotten guards against routes and endpoints that left and are walked for ever.
func TestReplacedEndpointsAreForgotten(t *testing.T) {
	for kind := range 3 {
		d := start(t, plain())
		for i := range 200 {
			now := time.Duration(i) * time.Second
			d.Handle(moment(now), []Event{EndpointsUpdated{Complete: true, Endpoints: []Endpoint{{ID: fmt.Sprint("a", i), Kind: kind},
				{ID: fmt.Sprint("b", i), Kind: kind}}}, arrive(fmt.Sprint("m", i), 0)})
			for id, m := range d.messages {
				d.Handle(moment(now+100*ms), []Event{AttemptEnded{ID: id, Endpoint: m.attempts[0].call.endpoint.ID, Outcome: OK, Completed: true}})
			}
		}
		if len(d.endpoints) != 2 || len(d.queues) > 3 || len(d.destinations) != 1 || len(d.active)+len(d.messages)+len(d.unfinished) != 0 {
			t.Errorf("kind %d: %d endpoints, %d queues, %d active, %d messages", kind, len(d.endpoints), len(d.queues),
				len(d.active), len(d.messages))
		}
	}
}

// TestBadInput guards against values that make no sense: sensible events after them are decided as ever.
func TestBadInput(t *testing.T) {
	s := plain()
	s.Weights = WeightsNominal
	for _, weight := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -3, 0} {
		d := start(t, s, Endpoint{ID: "a", Weight: weight})
		d.Handle(0, []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "a", Weight: 5}}}, arrive("m", 0)})
		if q := d.queues[0]; q.sendRate != 5 || len(q.calls) != 1 {
			t.Errorf("after weight %v: pace %v, %d calls out", weight, q.sendRate, len(q.calls))
		}
	}
	d := start(t, s, Endpoint{ID: "a"})
	d.Handle(0, []Event{arrive("m", 0)})
	d.Handle(moment(ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected, RetryAfter: math.MaxInt64}})
	expect(t, "an endless wait is kept", d.Handle(moment(time.Second), []Event{arrive("n", 0)}), "refuse n")
	expect(t, "no time left", d.Handle(moment(time.Second), []Event{Arrived{ID: "o", TimeLeft: -time.Second}}), "refuse o")
}

// BenchmarkHandle reports what a batch costs with 1,000 endpoints listed.
func BenchmarkHandle(b *testing.B) {
	s := plain()
	d, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	var list []Endpoint
	for i := range 1000 {
		list = append(list, Endpoint{ID: fmt.Sprint("e", i), Destination: i / 2})
	}
	d.Handle(0, []Event{EndpointsUpdated{Complete: true, Endpoints: list}})
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprint("m", i)
		now += 10 * ms
		for _, a := range d.Handle(moment(now), []Event{Arrived{ID: id, Destination: i % 500, TimeLeft: 10 * time.Second}}) {
			if a, ok := a.(Send); ok {
				d.Handle(moment(now+5*ms), []Event{AttemptEnded{ID: id, Endpoint: a.Endpoint, Outcome: OK, Completed: true}})
			}
		}
	}
}

// TestNewEndpointOfADestinationThatIsOut guards against all relays rushing to a replacement at once.
func TestNewEndpointOfADestinationThatIsOut(t *testing.T) {
	for _, gone := range []bool{false, true} { // the old endpoint stays, or is replaced
		d := start(t, plain(), Endpoint{ID: "a"})
		d.eject(d.endpoints["a"])
		d.Handle(moment(ms), []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "a", Removed: gone}, {ID: "b"}}}})
		if !d.endpoints["b"].ejected {
			t.Errorf("old one gone %v: the new one is not on its budget", gone)
		}
		d.recordSuccess(d.endpoints["b"], true)
		d.Handle(moment(2*ms), []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "c"}}}})
		if d.endpoints["c"].ejected {
			t.Error("a new one after the return is on a budget")
		}
	}
}

// TestListThatEmptiesAndComesBack guards against state that stays spoilt: calls are out while the list empties, the
// weight and the zone change, and the clock jumps back and far ahead.
func TestListThatEmptiesAndComesBack(t *testing.T) {
	for kind := range 3 {
		s := plain()
		s.Weights = WeightsNominal
		d := start(t, s, Endpoint{ID: "a", Kind: kind, Weight: 5})
		expect(t, "sent", d.Handle(moment(time.Second), []Event{arrive("m", 0)}), "m>a")
		expect(t, "held", d.Handle(moment(2*time.Second), []Event{EndpointsUpdated{Complete: true}, arrive("n", 0)}), "")
		expect(t, "its outcome", d.Handle(0, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true}}), "")
		expect(t, "back", d.Handle(moment(3*time.Second), []Event{EndpointsUpdated{Endpoints: []Endpoint{
			{ID: "a", Kind: kind, Weight: 7, Zone: 1}}}}), "n>a")
		expect(t, "far ahead", d.Handle(moment(1000*time.Hour), []Event{AttemptEnded{ID: "n", Endpoint: "a", Outcome: OK, Completed: true},
			arrive("o", 0)}), "o>a")
		if d.callsInFlight != 1 || len(d.messages) != 1 {
			t.Errorf("kind %d: %d calls out, %d messages", kind, d.callsInFlight, len(d.messages))
		}
	}
}

// Endpoints that are out or on their way out count as avoided, the others do not.
func TestAvoided(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a", Destination: 1}, Endpoint{ID: "b", Destination: 2}, Endpoint{ID: "c", Destination: 2})
	if n := d.Avoided(); n != 0 {
		t.Errorf("%d avoided at the start", n)
	}
	d.Handle(0, []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "b", Destination: 2, Draining: true}}}})
	d.eject(d.endpoints["a"])
	if n := d.Avoided(); n != 2 {
		t.Errorf("%d avoided, want the one that is out and the one that drains", n)
	}
}

// What the process before has out holds slots here too, and its end counts as that of an own call: one that failed
// is sent again, one whose message is over only gives its slot back.
func TestCallsOutAtAHandover(t *testing.T) {
	s := plain()
	s.Slots = 2
	d := start(t, s, Endpoint{ID: "a", Destination: 0}, Endpoint{ID: "b", Destination: 1}, Endpoint{ID: "c", Destination: 2})
	out := func(id string, dest int, ep string, call int, over bool) Event {
		return Arrived{ID: id, Destination: dest, TimeLeft: 9 * time.Second, Resumed: true, Completed: over,
			PriorAttempts: []PriorAttempt{{Endpoint: ep, SentAt: moment(-ms), InFlight: true, Call: call}}}
	}
	expect(t, "both slots are taken", d.Handle(0, []Event{out("m1", 0, "a", 7, false), out("m2", 1, "b", 8, true),
		Arrived{ID: "held", Destination: 2, TimeLeft: 9 * time.Second, Resumed: true}}), "")
	expect(t, "the message that is over gives its slot back",
		d.Handle(moment(10*ms), []Event{AttemptEnded{ID: "m2", Endpoint: "b", Outcome: OK, Latency: 11 * ms}}), "held>c")
	if d.messages["m2"] != nil {
		t.Error("the message that is over is still held")
	}
	expect(t, "a call that broke is made again",
		d.Handle(moment(20*ms), []Event{AttemptEnded{ID: "m1", Endpoint: "a", Outcome: Reset, Latency: 21 * ms}}), "m1>a")
	for _, c := range d.endpoints["a"].calls {
		if c.number == 7 {
			t.Error("the call of the process before is still out")
		}
	}
}

// What a dispatcher has learned is the next one's from the start, but for endpoints that are no longer listed.
func TestLearned(t *testing.T) {
	s := plain()
	s.Weights = WeightsNominal
	list := []Endpoint{{ID: "a", Destination: 0, Weight: 10}, {ID: "b", Destination: 1, Weight: 10}, {ID: "c", Destination: 2, Weight: 10}}
	old := start(t, s, list...)
	old.Handle(0, []Event{Arrived{ID: "m", TimeLeft: 9 * time.Second}})
	old.Handle(moment(100*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected, RetryAfter: 2 * time.Second, Latency: 100 * ms}})
	old.eject(old.endpoints["b"])
	old.endpoints["b"].queue.record(0, 0.7)
	d := start(t, s, list[:2]...)
	events := []Event{Arrived{ID: "m", TimeLeft: 9 * time.Second, Resumed: true}}
	for _, l := range old.ExportState() {
		events = append([]Event{l}, events...)
	}
	expect(t, "in the told wait", d.Handle(moment(200*ms), events), "")
	expect(t, "and still", d.Handle(moment(2*time.Second), nil), "")
	expect(t, "after it", d.Handle(moment(2200*ms), nil), "m>a")
	if !d.endpoints["b"].ejected || d.endpoints["b"].queue.mean != 0.7 {
		t.Errorf("b: sick %v, mean %v", d.endpoints["b"].ejected, d.endpoints["b"].queue.mean)
	}
	if got, want := d.endpoints["a"].queue.sendRate, old.endpoints["a"].queue.sendRate; got != want {
		t.Errorf("pace %v, want %v", got, want)
	}
}
