package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestConnectionLimit guards against an ejection of an endpoint that refuses a connection only because it has
// reached its connection limit.
func TestConnectionLimit(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	d.Handle(0, []Event{arrive("m1", 0), arrive("m2", 0)})
	d.Handle(moment(10*ms),
		[]Event{AttemptEnded{ID: "m1", Endpoint: "a", Outcome: OK, Completed: true}, arrive("m3", 0)})
	d.Handle(moment(20*ms), []Event{AttemptEnded{ID: "m2", Endpoint: "a", Outcome: ConnectError}})
	ep := d.endpoints["a"]
	if ep.outlier.ejected || ep.outlier.consecutiveFailures > 0 || ep.connections.limit != 1 {
		t.Errorf("ejected %v, failures %v, connection limit %v; want false, 0 and 1",
			ep.outlier.ejected, ep.outlier.consecutiveFailures,
			ep.connections.limit)
	}
	for range 20 {
		d.recordSuccess(ep, true)
	}
	if ep.connections.limit < 1.9 {
		t.Errorf("connection limit %v after twenty successes, want at least 1.9", ep.connections.limit)
	}
}

// TestIdleConnectionsAreClosedWhenFull guards against many relays whose idle connections use up the
// connections of an endpoint, and against closing idle connections without a sign of that.
func TestIdleConnectionsAreClosedWhenFull(t *testing.T) {
	connectError := []Event{GossipReceived{Message: encodeEndpointMessage(connectErrorType, "a")}}
	for _, tt := range []struct {
		name string
		// when another relay reports a connection error; 0 for never. The first call lasts from 1 s to 2 s.
		errorAt      time.Duration
		learnedLimit float64       // learned connection limit; 0 for none
		lastCallEnd  time.Duration // when a later call ends
		closes       bool          // whether idle connections should be closed
	}{{"no connection error", 0, 0, 3 * time.Second, false},
		{"connection error at this relay", 0, 2, 3 * time.Second, true},
		{"connection error elsewhere during the call", 1500 * ms, 0, 3 * time.Second, true},
		{"connection error elsewhere before the call, as in an outage", 500 * ms, 0, 3 * time.Second, false},
		{"connection error elsewhere long ago", 1500 * ms, 0, 15 * time.Second, false}} {
		s := basicSettings()
		s.IdleConnTimeout, s.FleetSize = 10*time.Second, 40
		d := start(t, s, Endpoint{ID: "a"})
		if tt.errorAt > 0 && tt.errorAt < time.Second {
			d.Handle(moment(tt.errorAt), connectError)
		}
		d.Handle(moment(time.Second), []Event{arrive("m", 0)})
		if tt.errorAt > time.Second {
			d.Handle(moment(tt.errorAt), connectError)
		}
		d.Handle(moment(2*time.Second),
			[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true}})
		d.endpoints["a"].connections.limit = tt.learnedLimit
		d.Handle(moment(tt.lastCallEnd-500*ms), []Event{arrive("n", 0)})
		closes := false
		for _, a := range d.Handle(moment(tt.lastCallEnd),
			[]Event{AttemptEnded{ID: "n", Endpoint: "a", Outcome: OK, Completed: true}}) {
			closes = closes || a == CloseIdleConnections{Endpoint: "a"}
		}
		if closes != tt.closes {
			t.Errorf("%s: idle connections closed: %v, want the opposite", tt.name, closes)
		}
	}
}

// TestConnectErrorIsBroadcast guards against a relay that keeps a connection error to itself, and against one
// that broadcasts each of them.
func TestConnectErrorIsBroadcast(t *testing.T) {
	d := fleet(t, connectErrorReporters, 400)[0]
	broadcasts := 0
	for i := range 4 {
		at, id := time.Duration(10+3*i)*100*ms, fmt.Sprint("m", i)
		d.endpoints["a"].outlier.ejected, d.endpoints["a"].outlier.consecutiveFailures = false, 0
		d.Handle(moment(at), []Event{arrive(id, 0)})
		for _, a := range d.Handle(moment(at+10*ms),
			[]Event{AttemptEnded{ID: id, Endpoint: "a", Outcome: ConnectError, Completed: true}}) {
			if broadcast, ok := a.(Broadcast); ok &&
				decodeEndpointMessage(connectErrorType, broadcast.Message) == "a" {
				broadcasts++
			}
		}
	}
	if broadcasts != 1 {
		t.Errorf("%d gossip messages on four connection errors within a second, want 1", broadcasts)
	}
}

// TestConnectErrorReporters guards against a gossip message of each relay of a fleet when all meet the same
// outage: only about connectErrorReporters of them should broadcast it.
func TestConnectErrorReporters(t *testing.T) {
	broadcasts := 0
	for _, d := range fleet(t, 300, 3000) {
		d.Handle(moment(time.Second), []Event{arrive("m", 0)})
		for _, a := range d.Handle(moment(1010*ms),
			[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: ConnectError, Completed: true}}) {
			if broadcast, ok := a.(Broadcast); ok &&
				decodeEndpointMessage(connectErrorType, broadcast.Message) == "a" {
				broadcasts++
			}
		}
	}
	if broadcasts < 1 || broadcasts > 3*connectErrorReporters {
		t.Errorf("%d of 300 relays broadcast the connection error, want 1 to 3*connectErrorReporters",
			broadcasts)
	}
}

func TestConnectionLimiter(t *testing.T) {
	var limiter connectionLimiter
	if !limiter.allows(1000) || limiter.full(0, time.Minute) {
		t.Errorf("%+v limits connections before any connection error", limiter)
	}
	limiter.raiseLimit()
	if limiter.limit != 0 {
		t.Error("a success without a learned limit set one")
	}
	if !limiter.recordError(moment(2*rateWindow)) || limiter.recordError(moment(2*rateWindow+ms)) {
		t.Error("recordError must return true only for the first connection error within rateWindow")
	}
	limiter.recordSuccess(moment(3*time.Second), moment(time.Second))
	if !limiter.full(moment(4*time.Second), time.Minute) || limiter.full(moment(2*time.Minute), time.Minute) {
		t.Errorf("%+v after a success of a call sent before the error, want full for a minute", limiter)
	}
	limiter.lowerLimit(0)
	if !limiter.allows(0) || limiter.allows(1) {
		t.Errorf("limit of %v after an error without a call in flight, want 1", limiter.limit)
	}
	for range int(math.Ceil(1 / connectionLimitIncrease)) {
		limiter.raiseLimit()
	}
	if !limiter.allows(1) {
		t.Errorf("limit of %v after many successes, want at least 2", limiter.limit)
	}
}
