package relay

import (
	"strconv"
	"time"

	"milletsail/internal/fleet"
	"milletsail/internal/fleet/live"
	"milletsail/policy"
)

// newFleetService returns the service that shares what this relay learns with the fleet. It brings the loop what the others
// share.
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
		OnAssessment: func(a live.PeerAssessment) { l.offerEvent(fleetAssessed{a}) },
		OnFact: func(f fleet.Fact, age time.Duration) {
			if o, ok := observation(f, age); ok {
				l.offerEvent(gossipReceived{o.Encode()})
			}
		}})
}

// receiveGossip hands a message of another relay to the service that it is for; for the goroutine of the gossip transport.
func (l *loop) receiveGossip(from int, message []byte) {
	if l.fleet.Accepts(message) {
		l.fleet.Receive(from, message)
		return
	}
	l.offerEvent(gossipReceived{message})
}

// offerEvent enqueues an event that may be lost: it is, where the inbox is full.
func (l *loop) offerEvent(e event) {
	select {
	case l.inbox <- e:
	default:
	}
}

// broadcast sends a gossip message of the policy to all other relays: as a fact where the fleet shares what it learns.
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
		return // PersistHealth says the same
	case observed.ConnectError:
		kind, key, value = fleet.KindConnectionRejected, observed.Endpoint, 0
	}
	l.fleet.Observe(kind, key, value, false, observed.CallAge) // the policy limits how many relays report it
}

// observation returns what a fact says to the policy, if it is of the kinds that gossip messages carry.
func observation(fact fleet.Fact, age time.Duration) (observed policy.Observation, ok bool) {
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

// assessmentEvents translates an assessment of the fleet into the policy's events.
func assessmentEvents(s live.PeerAssessment) []policy.Event {
	events := []policy.Event{policy.PeerSuspected{Destination: s.Dest, Endpoint: s.Endpoint, Observers: s.Observers,
		RecentObservers: s.RecentObservers, OldestAge: s.OldestAge, NewestAge: s.NewestAge, ValidFor: s.ValidFor, Rank: s.Rank}}
	if s.Rates.Reporters > 0 {
		events = append(events, policy.PeerRateReceived{Destination: s.Dest, LiveRelays: s.LiveRelays, Reporters: s.Rates.Reporters,
			RateShare: s.Rates.RateShare, ArrivalRate: s.Rates.ArrivalRate, ArrivalRateError: s.Rates.ArrivalRateError,
			ArrivalRateByZone: s.ArrivalRateByZone, ValidFor: s.Rates.ValidFor})
	}
	return events
}

// observeFailure reports an attempt that failed to the fleet.
func (l *loop) observeFailure(e attemptEnded) {
	switch e.Outcome {
	case policy.ConnectError, policy.Failed, policy.Reset, policy.TimedOut:
		l.fleet.ObserveFailure(e.endpoint)
	}
}
