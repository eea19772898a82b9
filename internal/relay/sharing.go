package relay

import (
	"strconv"
	"time"

	"milletsail/internal/fleet"
	"milletsail/internal/fleet/live"
	"milletsail/policy"
)

// newFleetService returns the service that shares this relay's observations with the other relays of the fleet. What the others
// share becomes events of the loop.
func (l *loop) newFleetService(dir string) *live.Service {
	s := &l.cfg.Settings
	return live.New(live.Options{Incarnation: live.NextIncarnation(dir), Self: s.Ordinal, Size: s.NInstances, Version: version(),
		Zone: s.Az, Seed: uint64(l.cfg.RandomSeed),
		Send: func(to int, message []byte) {
			if to == fleet.AllRelays {
				l.gossip.Broadcast(message)
			} else {
				l.gossip.Send(to, message)
			}
		},
		OnAssessment: func(a live.PeerAssessment) { l.tryEnqueue(peersAssessed{a}) },
		OnFact: func(f fleet.Fact, age time.Duration) {
			if o, ok := observationFromFact(f, age); ok {
				l.tryEnqueue(gossipReceived{o.Encode()})
			}
		}})
}

// receiveGossip passes a message from another relay to the fleet service or, if it is not one of the service's, to the policy.
// The goroutine of the gossip transport calls it.
func (l *loop) receiveGossip(from int, message []byte) {
	if l.fleet.Accepts(message) {
		l.fleet.Receive(from, message)
		return
	}
	l.tryEnqueue(gossipReceived{message})
}

// tryEnqueue enqueues an event that may be lost. It drops the event if the inbox is full.
func (l *loop) tryEnqueue(e event) {
	select {
	case l.inbox <- e:
	default:
	}
}

// broadcast sends a gossip message of the policy to all other relays. If the fleet service is enabled, observations are shared
// through it as facts instead.
func (l *loop) broadcast(message []byte) {
	observed, ok := policy.DecodeObservation(message)
	if l.fleet == nil || !ok {
		l.gossip.Broadcast(message)
		return
	}
	kind, key, value := fleet.KindDestinationClosed, strconv.Itoa(observed.Destination), uint64(observed.RetryAfter.Milliseconds())
	switch {
	case observed.CircuitClosed:
		kind = fleet.KindDestinationOpen
	case observed.Recovered:
		return // persistHealth has shared the recovery already
	case observed.ConnectError:
		kind, key, value = fleet.KindConnectionRejected, observed.Endpoint, 0
	}
	l.fleet.Observe(kind, key, value, false, observed.CallAge) // false: the policy itself limits how many relays report it
}

// observationFromFact converts a fact to an observation for the policy. It reports false for facts of other kinds and for
// those with an invalid destination.
func observationFromFact(fact fleet.Fact, age time.Duration) (observed policy.Observation, ok bool) {
	observed = policy.Observation{
		CircuitOpen:   fact.Kind == fleet.KindDestinationClosed,
		CircuitClosed: fact.Kind == fleet.KindDestinationOpen,
		Recovered:     fact.Kind == fleet.KindEndpointRecovered,
		ConnectError:  fact.Kind == fleet.KindConnectionRejected,
		CallAge:       age,
	}
	if observed.Recovered || observed.ConnectError {
		observed.Endpoint = fact.Key
		return observed, true
	}
	dest, err := strconv.Atoi(fact.Key)
	if err != nil || !observed.CircuitOpen && !observed.CircuitClosed {
		return observed, false
	}
	observed.Destination = dest
	if observed.CircuitOpen {
		observed.RetryAfter = time.Duration(min(fact.Value, uint64(time.Hour/time.Millisecond))) * time.Millisecond
	}
	return observed, true
}

// assessmentEvents converts the fleet's assessment of a destination or an endpoint to events of the policy.
func assessmentEvents(a live.PeerAssessment) []policy.Event {
	events := []policy.Event{policy.PeerSuspected{Destination: a.Dest, Endpoint: a.Endpoint, Observers: a.Observers,
		RecentObservers: a.RecentObservers, OldestAge: a.OldestAge, NewestAge: a.NewestAge, ValidFor: a.ValidFor, Rank: a.Rank}}
	if a.Rates.Reporters > 0 {
		events = append(events, policy.PeerRateReceived{Destination: a.Dest, LiveRelays: a.LiveRelays, Reporters: a.Rates.Reporters,
			RateShare: a.Rates.RateShare, ArrivalRate: a.Rates.ArrivalRate, ArrivalRateError: a.Rates.ArrivalRateError,
			ArrivalRateByZone: a.ArrivalRateByZone, ValidFor: a.Rates.ValidFor})
	}
	return events
}

// observeFailure reports a failed attempt to the fleet service, if the outcome may be the endpoint's fault.
func (l *loop) observeFailure(e attemptEnded) {
	switch e.Outcome {
	case policy.ConnectError, policy.Failed, policy.Reset, policy.TimedOut:
		l.fleet.ObserveFailure(e.endpoint)
	}
}
