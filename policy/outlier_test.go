package policy

import (
	"cmp"
	"fmt"
	"testing"
	"time"
)

// TestErrorResponsesCountHalf guards against an ejection of an endpoint at which only a part of the calls
// fails.
func TestErrorResponsesCountHalf(t *testing.T) {
	tests := []struct {
		outcome Outcome
		n       int
		ejected bool
	}{{Reset, 3, false}, {Reset, 4, true}, {Failed, 3, false}, {ConnectError, 1, false},
		{ConnectError, 2, true}}
	for _, tt := range tests {
		d := start(t, basicSettings(), Endpoint{ID: "a"})
		d.Handle(0, []Event{arrive("m", 0)})
		for i := range tt.n {
			d.Handle(moment(time.Duration(i+1)*ms),
				[]Event{AttemptEnded{ID: "m", Endpoint: "a", Attempt: i, Outcome: tt.outcome}})
		}
		if got := d.endpoints["a"].outlier.ejected; got != tt.ejected {
			t.Errorf("after %d calls with outcome %d: ejected %v, want the opposite", tt.n, tt.outcome, got)
		}
	}
}

// TestRecoveryAllowsProbesOfDestination guards against a slow recovery: outages mostly end for all endpoints
// of a destination at once, so the success of one has to allow a probe of the others.
func TestRecoveryAllowsProbesOfDestination(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
	a, b := d.endpoints["a"], d.endpoints["b"]
	d.eject(a)
	d.eject(b)
	if d.acceptsCall(b) {
		t.Error("endpoint b may be probed right after its ejection")
	}
	d.recordSuccess(a, true)
	if !d.acceptsCall(b) {
		t.Error("endpoint b may not be probed after endpoint a has recovered")
	}
}

// TestOneClassFailing guards against messages that keep going to an endpoint which fails their class but
// serves the others.
func TestOneClassFailing(t *testing.T) {
	s := basicSettings()
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b"})
	d.Handle(0, []Event{arrive("m", 0)})
	expect(t, "a retry goes to the other endpoint",
		d.Handle(moment(ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Failed}}), "m>b")
	d.Handle(moment(2*ms),
		[]Event{AttemptEnded{ID: "m", Endpoint: "b", Attempt: 1, Outcome: OK, Completed: true}})
	expect(t, "further messages of the failing class go there too",
		d.Handle(moment(3*ms), []Event{arrive("n", 0)}), "n>b")
	d.Handle(moment(4*ms), []Event{AttemptEnded{ID: "n", Endpoint: "b", Outcome: OK, Completed: true}})
	d.endpoints["a"].lastUsedAt = moment(4 * ms)
	expect(t, "messages of other classes go to the first endpoint",
		d.Handle(moment(5*ms), []Event{arrive("o", 1)}), "o>a")
}

// TestRecoveryClearsFailuresOfAllClasses guards against failures of an outage that keep a class away from an
// endpoint for good, because only messages of another class were used to probe it.
func TestRecoveryClearsFailuresOfAllClasses(t *testing.T) {
	s := basicSettings()
	s.SlowStartWindow = time.Second
	d := start(t, s, Endpoint{ID: "a", Zone: 0}, Endpoint{ID: "b", Zone: 1})
	a := d.endpoints["a"]
	now := time.Duration(0)
	attempts := map[string]int{}
	call := func(class int, atA Outcome) (first string) {
		now += 100 * ms
		id := fmt.Sprint(now)
		actions := d.Handle(moment(now), []Event{arrive(id, class)})
		for n := 0; len(actions) > 0 && n < 8; n++ {
			var ends []Event
			for _, x := range actions {
				if send, ok := x.(Send); ok {
					first = cmp.Or(first, send.Endpoint)
					e := AttemptEnded{ID: send.ID, Endpoint: send.Endpoint, Attempt: attempts[send.ID], Outcome: OK,
						Latency: 10 * ms}
					attempts[send.ID]++
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
		t.Fatal("endpoint a is not ejected after two connection errors")
	}
	for n := 0; n < 200 && (a.outlier.ejected || a.slowStart.active); n++ {
		call(1, OK) // probes with messages of class 1 end the ejection
	}
	for range 20 {
		if call(0, OK) == "a" {
			return
		}
	}
	t.Error("no message of class 0 goes to endpoint a after its recovery")
}

// Ejected and draining endpoints count as unavailable, others do not.
func TestUnavailableEndpoints(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a", Destination: 1}, Endpoint{ID: "b", Destination: 2},
		Endpoint{ID: "c", Destination: 2})
	if n := d.UnavailableEndpoints(); n != 0 {
		t.Errorf("%d unavailable endpoints at the start, want 0", n)
	}
	d.Handle(0, []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "b", Destination: 2, Draining: true}}}})
	d.eject(d.endpoints["a"])
	if n := d.UnavailableEndpoints(); n != 2 {
		t.Errorf("%d unavailable endpoints, want 2: one ejected, one draining", n)
	}
}

func TestOutlierDetectorCountsFailures(t *testing.T) {
	detector := newOutlierDetector(2)
	failed := &call{sentAt: moment(time.Second), messages: []*message{{}, {Arrived: Arrived{Class: 1}}}}
	if !detector.countFailure(moment(2*time.Second), failed, errorResponseWeight) {
		t.Error("the failure of a call sent after the last success does not count")
	}
	if detector.consecutiveFailures != errorResponseWeight ||
		detector.lastFailureAt != moment(2*time.Second) ||
		detector.classFailures[0] != errorResponseWeight/2 ||
		detector.classFailures[1] != errorResponseWeight/2 {
		t.Errorf("%+v after an error response, want errorResponseWeight, divided among its two classes",
			detector)
	}
	detector.lastSuccessAt = moment(3 * time.Second)
	if detector.countFailure(moment(4*time.Second), failed, 1) ||
		detector.consecutiveFailures != errorResponseWeight {
		t.Error("the failure of a call sent before the last success counts")
	}
}
