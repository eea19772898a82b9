package relay

import (
	"strconv"
	"time"

	"milletsail/internal/fleet"
	"milletsail/internal/fleet/live"
	"milletsail/policy"
)

// newFleetService has this relay share what it learns with the others, and brings the loop what they say.
func (l *loop) newFleetService(dir string) *live.Service {
	s := &l.cfg.Settings
	return live.New(live.Options{Incarnation: live.NextIncarnation(dir), Self: s.Ordinal, Size: s.NInstances, Version: version(), Zone: s.Az, Seed: uint64(l.cfg.RandomSeed),
		Send: func(to int, note []byte) {
			if to == fleet.Everyone {
				l.gossip.Broadcast(note)
			} else {
				l.gossip.Send(to, note)
			}
		},
		OnAssessment: func(said live.PeerAssessment) { l.offerEvent(fleetAssessed{said}) },
		OnFact: func(f fleet.Fact, age time.Duration) {
			if o, ok := observation(f, age); ok {
				l.offerEvent(gossipReceived{o.Note()})
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

// offerEvent hands the loop an event that may be lost, where it has more to do than it can.
func (l *loop) offerEvent(e event) {
	select {
	case l.inbox <- e:
	default:
	}
}

// broadcast tells all other relays what a note of the module says: as a fact where they share what they learn.
func (l *loop) broadcast(note []byte) {
	o, ok := policy.ReadNote(note)
	if l.fleet == nil || !ok {
		l.gossip.Broadcast(note)
		return
	}
	kind, key, value := fleet.KindDestinationClosed, strconv.Itoa(o.Destination), uint64(o.Wait.Milliseconds())
	switch {
	case o.Open:
		kind = fleet.KindDestinationOpen
	case o.Back:
		return // Remember says the same
	case o.NoRoom:
		kind, key, value = fleet.KindConnectionRejected, o.Endpoint, 0
	}
	l.fleet.Observe(kind, key, value, false, o.Age) // the module has seen to it that few tell
}

// observation is what a fact says to the module, if it is of the kinds that notes tell.
func observation(f fleet.Fact, age time.Duration) (o policy.Observed, ok bool) {
	o = policy.Observed{Closed: f.Kind == fleet.KindDestinationClosed, Open: f.Kind == fleet.KindDestinationOpen, Back: f.Kind == fleet.KindEndpointRecovered,
		NoRoom: f.Kind == fleet.KindConnectionRejected, Age: age}
	if o.Back || o.NoRoom {
		o.Endpoint = f.Key
		return o, true
	}
	dest, err := strconv.Atoi(f.Key)
	if err != nil || !o.Closed && !o.Open {
		return o, false
	}
	o.Destination = dest
	if o.Closed {
		o.Wait = time.Duration(min(f.Value, uint64(time.Hour/time.Millisecond))) * time.Millisecond
	}
	return o, true
}

// assessmentEvents turns what the fleet says into the module's events.
func assessmentEvents(s live.PeerAssessment) []policy.Event {
	events := []policy.Event{policy.PeerSuspected{Destination: s.Dest, Endpoint: s.Endpoint, Observers: s.Observers, RecentObservers: s.RecentObservers, OldestAge: s.OldestAge,
		NewestAge: s.NewestAge, ValidFor: s.ValidFor, Rank: s.Rank}}
	if s.Rates.Reporters > 0 {
		events = append(events, policy.PeerRateReceived{Destination: s.Dest, LiveRelays: s.LiveRelays, Reporters: s.Rates.Reporters, RateShare: s.Rates.RateShare,
			ArrivalRate: s.Rates.ArrivalRate, ArrivalRateError: s.Rates.ArrivalRateError, ArrivalRateByZone: s.ArrivalRateByZone, ValidFor: s.Rates.ValidFor})
	}
	return events
}

// observeFailure tells the other relays of a call that failed, where they know of an outage.
func (l *loop) observeFailure(e attemptEnded) {
	switch e.Outcome {
	case policy.ConnectError, policy.Failed, policy.Reset, policy.TimedOut:
		l.fleet.ObserveFailure(e.endpoint)
	}
}
