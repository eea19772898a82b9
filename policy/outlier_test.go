package policy

import (
	"cmp"
	"fmt"
	"testing"
	"time"
)

// TestErrorResponsesCountHalf guards against taking a share of failing calls for an outage.
func TestErrorResponsesCountHalf(t *testing.T) {
	tests := []struct {
		outcome Outcome
		n       int
		ejected bool
	}{{Reset, 3, false}, {Reset, 4, true}, {Failed, 3, false}, {ConnectError, 1, false},
		{ConnectError, 2, true}}
	for _, tt := range tests {
		d := start(t, plain(), Endpoint{ID: "a"})
		d.Handle(0, []Event{arrive("m", 0)})
		for i := range tt.n {
			d.Handle(moment(time.Duration(i+1)*ms),
				[]Event{AttemptEnded{ID: "m", Endpoint: "a", Attempt: i, Outcome: tt.outcome}})
		}
		if got := d.endpoints["a"].outlier.ejected; got != tt.ejected {
			t.Errorf("%d of outcome %d: ejected %v", tt.n, tt.outcome, got)
		}
	}
}

// TestSiblingProbes guards against slow detection: outages mostly end for a whole destination.
func TestSiblingProbes(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
	a, b := d.endpoints["a"], d.endpoints["b"]
	d.eject(a)
	d.eject(b)
	if d.acceptsCall(b) {
		t.Error("a probe at once")
	}
	d.recordSuccess(a, true)
	if !d.acceptsCall(b) {
		t.Error("no probe after the sibling's return")
	}
}

// TestOneClassFailing guards against an endpoint that fails one class and serves the others.
func TestOneClassFailing(t *testing.T) {
	s := plain()
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b"})
	d.Handle(0, []Event{arrive("m", 0)})
	expect(t, "a retry goes to the sibling",
		d.Handle(moment(ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Failed}}), "m>b")
	d.Handle(moment(2*ms),
		[]Event{AttemptEnded{ID: "m", Endpoint: "b", Attempt: 1, Outcome: OK, Completed: true}})
	expect(t, "so does its class", d.Handle(moment(3*ms), []Event{arrive("n", 0)}), "n>b")
	d.Handle(moment(4*ms), []Event{AttemptEnded{ID: "n", Endpoint: "b", Outcome: OK, Completed: true}})
	d.endpoints["a"].lastUsedAt = moment(4 * ms)
	expect(t, "others do not", d.Handle(moment(5*ms), []Event{arrive("o", 1)}), "o>a")
}

// TestOutageOfAllClassesEndsForAll guards against failures of an outage that are held against an endpoint for
// good, in the classes that happened to meet it.
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
					e := AttemptEnded{ID: id, Endpoint: send.Endpoint, Attempt: n, Outcome: OK,
						Latency: 10 * ms}
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
	if !a.outlier.ejected {
		t.Fatal("an endpoint that takes no connection is not out")
	}
	for n := 0; n < 200 && (a.outlier.ejected || a.slowStart.active); n++ {
		call(1, OK) // what of the other class is tried there brings it back
	}
	for range 20 {
		if call(0, OK) == "a" {
			return
		}
	}
	t.Error("messages of the class that met the outage never go there again")
}

// Endpoints that are out or on their way out count as avoided, the others do not.
func TestAvoided(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a", Destination: 1}, Endpoint{ID: "b", Destination: 2},
		Endpoint{ID: "c", Destination: 2})
	if n := d.UnavailableEndpoints(); n != 0 {
		t.Errorf("%d avoided at the start", n)
	}
	d.Handle(0, []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "b", Destination: 2, Draining: true}}}})
	d.eject(d.endpoints["a"])
	if n := d.UnavailableEndpoints(); n != 2 {
		t.Errorf("%d avoided, want the one that is out and the one that drains", n)
	}
}

func TestOutlierDetectorCountsFailures(t *testing.T) {
	detector := newOutlierDetector(2)
	failed := &call{sentAt: moment(time.Second), messages: []*message{{}, {Arrived: Arrived{Class: 1}}}}
	if !detector.countFailure(moment(2*time.Second), failed, errorResponseWeight) {
		t.Error("a failure doesn't count")
	}
	if detector.consecutiveFailures != errorResponseWeight ||
		detector.lastFailureAt != moment(2*time.Second) ||
		detector.classFailures[0] != errorResponseWeight/2 ||
		detector.classFailures[1] != errorResponseWeight/2 {
		t.Errorf("%+v after an error response", detector)
	}
	detector.lastSuccessAt = moment(3 * time.Second)
	if detector.countFailure(moment(4*time.Second), failed, 1) ||
		detector.consecutiveFailures != errorResponseWeight {
		t.Error("a failure of a call from before the last success counts")
	}
}
