package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// Messages that are sent in batches take the time of their calls; with the time of one call each, the delay
// would be overestimated and messages rejected without need.
func TestQueueingDelayCountsCalls(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a", Kind: 1})
	d.Handle(moment(ms), []Event{arrive("first", 0)})
	d.Handle(moment(time.Second),
		[]Event{AttemptEnded{ID: "first", Endpoint: "a", Outcome: OK, Latency: time.Second, Completed: true}})
	d.Handle(moment(2*time.Second), []Event{arrive("refused", 0)})
	d.Handle(moment(2100*ms),
		[]Event{AttemptEnded{ID: "refused", Endpoint: "a", Outcome: Rejected, RetryAfter: time.Second,
			Latency: 100 * ms}})
	var events []Event
	for i := range 7 { // these and the message that waits make two calls of 1 s
		events = append(events, arrive(fmt.Sprint("m", i), 0))
	}
	expect(t, "two calls ahead, 10 s left", d.Handle(moment(2200*ms), events), "")
	for i := range 100 {
		events = append(events, arrive(fmt.Sprint("n", i), 0))
	}
	if got := summary(d.Handle(moment(2300*ms), events)); !strings.Contains(got, "reject") {
		t.Errorf("100 more messages, which make 20 calls of 1 s: got %q, want some rejected", got)
	}
}

// During a Retry-After no calls are in flight, but after it several are sent at once again. The delay must
// not be computed as if the waiting messages were sent one after another.
func TestQueueingDelayDuringRetryAfter(t *testing.T) {
	s := basicSettings()
	s.Slots = 20
	d := start(t, s, Endpoint{ID: "a"})
	now := time.Duration(0)
	round := func(n int, e AttemptEnded) []Event { // n calls at once, which all end after 1 s
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
	d.Handle(moment(now),
		round(10, AttemptEnded{Outcome: Rejected, RetryAfter: 2 * time.Second, Latency: time.Second}))
	expect(t, "10 messages waiting, Retry-After of 2 s, several calls of 1 s at once",
		d.Handle(moment(now+ms), []Event{arrive("m", 0)}), "")
}

func TestQueueingDelay(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	q := d.queues[0]
	if u := d.queueingDelay(q); u != 0 {
		t.Errorf("idle queue: u = %v, want 0", u)
	}
	q.latency.mean = 0.5
	q.waiting = make([]*message, 6)
	if u := d.queueingDelay(q); u != 3 {
		t.Errorf("6 messages waiting, no call in flight: u = %v, want 6 × 0.5", u)
	}
	q.calls = []*call{{endpoint: q.endpoints[0]}, {endpoint: q.endpoints[0]}}
	if u := d.queueingDelay(q); u != 1.5 {
		t.Errorf("6 messages waiting, 2 calls in flight: u = %v, want 6 × 0.5 / 2", u)
	}
	d.now = moment(5500 * ms) // both calls have taken 5.5 s: 0.5 + 0.1×5 = 1, then 1 + 0.1×4.5 = 1.45
	if got := q.currentLatency(d.now); math.Abs(got-1.45) > 1e-9 {
		t.Errorf("two calls in flight for 5.5 s: current latency %v, want 1.45", got)
	}
	q.circuit.retryAfterUntil = d.now.Add(8 * time.Second)
	if u := d.queueingDelay(q); u != 8 {
		t.Errorf("Retry-After with 8 s left: u = %v, want 8", u)
	}
}

// A queue without any outcome needs a latency estimate: with none, a first call whose answer is lost would
// keep its slot until the deadline.
func TestLatencyPrior(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	d.Handle(0, []Event{arrive("m", 0)})
	d.Handle(moment(400*ms),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Latency: 400 * ms, Completed: true},
			Arrived{ID: "n", Destination: 1, TimeLeft: 10 * time.Second}})
	q := d.queues[1]
	if q.latency.byClass[0] != 0.4 || q.latency.mean != 0.4 {
		t.Errorf("queue of b: class latency %v, mean %v, want the 0.4 s of a", q.latency.byClass[0],
			q.latency.mean)
	}
	q.latency.record(0, 0.2)
	if got := q.latency.byClass[0]; math.Abs(got-0.3) > 1e-9 {
		t.Errorf("after one own outcome of 0.2 s: class latency %v, want 0.3", got)
	}
}
