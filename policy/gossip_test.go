package policy

import (
	"fmt"
	"testing"
	"time"
)

// fleet returns the dispatchers of a fleet of relays, with gossip on. Their one destination has one endpoint,
// "a", which is listed with the given rate in calls a second.
func fleet(t *testing.T, relays int, weight float64) (all []*Dispatcher) {
	t.Helper()
	s := basicSettings()
	s.FleetSize, s.Weights, s.Gossip = relays, WeightsNominal, true
	for seed := range int64(relays) {
		d, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		d.Handle(0, []Event{EndpointsUpdated{Complete: true,
			Endpoints: []Endpoint{{ID: "a", Weight: weight}}}})
		all = append(all, d)
	}
	return all
}

// broadcasts returns the gossip messages that a relay sends when its call is rejected with a Retry-After of a
// second.
func broadcasts(d *Dispatcher, at time.Duration, id string) (all [][]byte) {
	d.Handle(moment(at), []Event{arrive(id, 0)})
	for _, a := range d.Handle(moment(at+ms),
		[]Event{AttemptEnded{ID: id, Endpoint: "a", Outcome: Rejected, RetryAfter: time.Second}}) {
		if broadcast, ok := a.(Broadcast); ok {
			all = append(all, broadcast.Message)
		}
	}
	return all
}

// TestFleetDecreasesRatesAtOnce guards against a fleet in which each relay has to be rejected itself before
// it pauses, and against one whose relays all resume at the same time after the Retry-After.
func TestFleetDecreasesRatesAtOnce(t *testing.T) {
	all := fleet(t, 80, 40)
	at := 2 * time.Second
	messages := broadcasts(all[0], at, "m")
	if len(messages) != 1 {
		t.Fatalf("%d gossip messages after a rejection, want 1", len(messages))
	}
	for _, d := range all[1:] {
		d.Handle(moment(at+10*ms), []Event{GossipReceived{Message: messages[0]}, arrive("m", 0)})
		if q := d.queues[0]; q.limiter.rate >= d.evenShare(q)*1.3 || len(q.calls) > 0 {
			t.Fatalf("after gossip on a rejection: send rate %v and %d calls in flight, want a rate below "+
				"1.3 even shares and no call",
				q.limiter.rate, len(q.calls))
		}
	}
	resumed := 0
	for ; at < 6*time.Second; at += 50 * ms {
		sent := 0
		for _, d := range all[1:] {
			for _, a := range d.Handle(moment(at), []Event{TimerFired{}}) {
				if _, ok := a.(Send); ok {
					sent++
				}
			}
		}
		if resumed += sent; sent > 16 || sent > 0 && at < 3*time.Second {
			t.Errorf("%d of 79 relays sent at %v, want none before 3s and at most 16 at once after that",
				sent, at)
		}
	}
	if resumed < 70 {
		t.Errorf("%d of 79 relays sent again within 4 s, want at least 70", resumed)
	}
}

// TestRatesRiseWhileGossipArrives guards against a large fleet that receives no gossip any more, and so does
// not learn of rejections: its relays must not raise their send rates above the even share.
func TestRatesRiseWhileGossipArrives(t *testing.T) {
	for _, tt := range []struct {
		relays   int
		received bool // whether gossip on another destination arrives
		above    bool // whether the send rate should exceed the even share after 19 s
	}{{300, true, true}, {300, false, false}, {2, false, true}} {
		d := fleet(t, tt.relays, 60)[0]
		q := d.queues[0]
		q.limiter.rate = d.evenShare(q) / 2
		for at := time.Second; at < 20*time.Second; at += 500 * ms {
			var events []Event
			if tt.received {
				events = append(events, GossipReceived{Message: limitMessage{destination: 5}.encode()})
			}
			d.Handle(moment(at), append(events, arrive(fmt.Sprint(at), 0)))
			d.sendTokens(q)
		}
		if above := q.limiter.rate > d.evenShare(q); above != tt.above ||
			q.limiter.rate < 0.9*d.evenShare(q) {
			t.Errorf("%d relays, gossip received %v: send rate %v, even share %v; want the rate above "+
				"the share: %v, and at least 0.9 of it",
				tt.relays, tt.received,
				q.limiter.rate, d.evenShare(q), tt.above)
		}
	}
}

// TestGossipIsNotRepeated guards against a fleet in which each rejected relay broadcasts a pause that the
// others know of already.
func TestGossipIsNotRepeated(t *testing.T) {
	all := fleet(t, 2, 400)
	at := 2 * time.Second
	messages := broadcasts(all[0], at, "m")
	all[1].Handle(moment(at), []Event{arrive("n", 0)})
	all[1].Handle(moment(at+ms), []Event{GossipReceived{Message: messages[0]}})
	for _, a := range all[1].Handle(moment(at+20*ms),
		[]Event{AttemptEnded{ID: "n", Endpoint: "a", Outcome: Rejected, RetryAfter: 990 * ms}}) {
		if _, ok := a.(Broadcast); ok {
			t.Error("a relay broadcast a pause that it had received from another relay")
		}
	}
	if again := broadcasts(all[1], at+3*time.Second, "o"); len(again) != 1 {
		t.Errorf("%d gossip messages after a later rejection, want 1", len(again))
	}
	withoutGossip := fleet(t, 2, 400)[0]
	withoutGossip.settings.Gossip = false
	if messages := broadcasts(withoutGossip, at, "m"); len(messages) != 0 {
		t.Error("a relay sent a gossip message with gossip off in its settings")
	}
}

// TestGossipDoesNotEject guards against gossip messages that change the state of endpoints by themselves:
// malformed ones, ones about unlisted destinations, and many within a second.
func TestGossipDoesNotEject(t *testing.T) {
	d := fleet(t, 80, 40)[0]
	q := d.queues[0]
	for _, message := range [][]byte{nil, []byte("hello"),
		limitMessage{destination: 5, retryAfter: time.Second}.encode()} {
		d.Handle(moment(time.Second), []Event{GossipReceived{Message: message}})
	}
	if q.circuit.backoffUntil != 0 || len(d.destinations) != 1 || len(d.endpoints) != 1 {
		t.Errorf("after unusable gossip: backoff until %v, %d destinations, %d endpoints; want 0, 1 and 1",
			q.circuit.backoffUntil, len(d.destinations),
			len(d.endpoints))
	}
	for i := range 1000 {
		d.Handle(moment(time.Second+time.Duration(i)*ms),
			[]Event{GossipReceived{Message: limitMessage{retryAfter: time.Hour}.encode()}})
	}
	if q.limiter.rate < 0.8*d.evenShare(q) || q.circuit.backoffUntil > moment(4*time.Second) ||
		q.circuit.retryAfterUntil != 0 || d.endpoints["a"].outlier.ejected {
		t.Errorf("after 1000 gossip messages on a rejection: send rate %v with an even share of %v, want at "+
			"least 0.8 of it; backoff until %v, want at most 4s; Retry-After until %v, want 0; ejected %v, "+
			"want false",
			q.limiter.rate, d.evenShare(q),
			q.circuit.backoffUntil, q.circuit.retryAfterUntil, d.endpoints["a"].outlier.ejected)
	}
	d.Handle(moment(10*time.Second), []Event{arrive("m", 0)})
	if len(q.calls) != 1 {
		t.Error("no call is sent although the last gossip message on a rejection is 8 s old")
	}
}

// TestBackoffEndsWithASuccess guards against a fleet that waits out a backoff although the destination
// accepts calls again, and against one that ends it after a success of a call sent before the rejected one.
func TestBackoffEndsWithASuccess(t *testing.T) {
	for _, tt := range []struct {
		name  string
		after time.Duration // sending time of the accepted call, relative to the rejected one sent at 2 s
		ends  bool          // whether the backoff should end
	}{{"earlier", -100 * ms, false}, {"at the same time", 10 * ms, false}, {"well after", 80 * ms, true}} {
		all := fleet(t, 3, 400)
		sentAt := 2*time.Second + tt.after
		all[1].Handle(moment(sentAt), []Event{arrive("n", 0)})
		broadcasts(all[0], 2*time.Second, "m")
		rejection := limitMessage{retryAfter: time.Second, callAge: 100 * ms}.encode()
		var broadcasts [][]byte
		all[1].Handle(moment(2100*ms), []Event{GossipReceived{Message: rejection}})
		all[2].Handle(moment(2100*ms), []Event{GossipReceived{Message: rejection}})
		for _, a := range all[1].Handle(moment(2200*ms),
			[]Event{AttemptEnded{ID: "n", Endpoint: "a", Outcome: OK, Completed: true}}) {
			if broadcast, ok := a.(Broadcast); ok {
				broadcasts = append(broadcasts, broadcast.Message)
			}
		}
		if len(broadcasts) > 0 != tt.ends ||
			all[1].queues[0].circuit.backoffUntil > moment(2200*ms) == tt.ends {
			t.Fatalf("accepted call sent %s: %d gossip messages, backoff until %v; want a message and the "+
				"end of the backoff only if it was sent well after the rejected call", tt.name,
				len(broadcasts),
				all[1].queues[0].circuit.backoffUntil)
		}
		if !tt.ends {
			continue
		}
		for _, d := range []*Dispatcher{all[0], all[2]} {
			d.Handle(moment(2210*ms), []Event{GossipReceived{Message: broadcasts[0]}})
		}
		if q := all[2].queues[0]; q.circuit.backoffUntil > moment(2210*ms) {
			t.Errorf("after the gossip message on a success, the other relays still back off until %v",
				q.circuit.backoffUntil)
		}
		if q := all[0].queues[0]; q.circuit.retryAfterUntil < moment(3*time.Second) {
			t.Errorf("a success at another relay ended a Retry-After early, at %v", q.circuit.retryAfterUntil)
		}
	}
}

// TestRecoveryIsBroadcast guards against relays that each wait for a success of their own after an endpoint
// has recovered, and against all of them probing at once when they learn of the recovery.
func TestRecoveryIsBroadcast(t *testing.T) {
	all := fleet(t, 80, 40)
	for _, d := range all {
		d.Handle(moment(time.Second), []Event{arrive("m", 0)})
		d.eject(d.endpoints["a"])
	}
	var messages [][]byte
	recoveredAt := 10 * time.Second
	for _, a := range all[0].Handle(moment(recoveredAt),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true}}) {
		if broadcast, ok := a.(Broadcast); ok {
			messages = append(messages, broadcast.Message)
		}
	}
	if len(messages) != 1 {
		t.Fatalf("%d gossip messages after a recovery, want 1", len(messages))
	}
	sent := 0
	for _, d := range all[1:] {
		d.Handle(moment(recoveredAt),
			[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: ConnectError, Completed: true}})
		d.Handle(moment(recoveredAt+10*ms),
			[]Event{GossipReceived{Message: messages[0]},
				GossipReceived{Message: encodeEndpointMessage(endpointRecoveredType, "unlisted")},
				arrive("n", 0)})
		ep := d.endpoints["a"]
		if ep.outlier.ejected || !ep.slowStart.active ||
			ep.slowStart.recoveredAt != moment(recoveredAt+10*ms) || len(d.endpoints) != 1 {
			t.Fatalf("after gossip on a recovery: ejected %v, slow start %v, recovered at %v, %d endpoints; "+
				"want a slow start from the arrival of the gossip message, and 1 endpoint",
				ep.outlier.ejected,
				ep.slowStart.active, ep.slowStart.recoveredAt, len(d.endpoints))
		}
		d.Handle(moment(recoveredAt+d.settings.OverloadWindow), []Event{TimerFired{}})
		sent += len(d.queues[0].calls)
	}
	s := all[0].settings
	share := s.SlowStartInitialShare +
		(1-s.SlowStartInitialShare)*float64(s.OverloadWindow/2)/float64(s.SlowStartWindow)
	// highest is the number of calls in an OverloadWindow above which the destination is overloaded.
	highest := int(s.OverloadFactor * share * 40 * s.OverloadWindow.Seconds())
	if sent == 0 || sent > highest {
		t.Errorf("%d calls to an endpoint in slow start within OverloadWindow, want 1 to %d", sent, highest)
	}
}
