package policy_test

import (
	"fmt"
	"testing"
	"time"

	"milletsail/internal/instant"
	"milletsail/policy"
)

// replaceProcess restarts a relay's process or makes it hand over, at random as the scenario asks for.
func (s *simulation) replaceProcess(t *testing.T, relay *simulatedRelay) {
	t.Helper()
	if relay.stepsToHandover > 0 {
		if relay.stepsToHandover--; relay.stepsToHandover == 0 {
			s.transferState(t, relay)
		}
		return
	}
	switch {
	case s.scenario.announcedHandovers && s.oneIn(150):
		relay.inbox = append(relay.inbox, policy.ShutdownStarted{})
		relay.stepsToHandover = 12
	case s.scenario.handovers && s.oneIn(150):
		s.transferState(t, relay)
	case s.scenario.restarts && s.oneIn(150):
		s.restart(t, relay)
	}
}

// transferState replaces a relay's process by a handover: the successor inherits the exported state and the
// attempts in flight.
func (s *simulation) transferState(t *testing.T, relay *simulatedRelay) {
	t.Helper()
	toSuccessorClock := func(at instant.Time) instant.Time { // the clock is taken to be 1 ms ahead
		if at == 0 || at == instant.Never {
			return at
		}
		return at.Add(time.Millisecond)
	}
	exported, results := relay.dispatcher.ExportState(), relay.results
	s.startProcess(t, relay)
	relay.results = results
	for _, each := range exported {
		relay.inbox = append(relay.inbox, each.Translate(toSuccessorClock))
	}
	s.resume(relay, true)
}

// restart replaces a relay's process after a crash: the new process gets only the health that the old one
// persisted, and its unfinished messages.
func (s *simulation) restart(t *testing.T, relay *simulatedRelay) {
	t.Helper()
	s.startProcess(t, relay)
	for _, endpoint := range relay.persistedOrder {
		relay.inbox = append(relay.inbox, policy.StateRestored(relay.persisted[endpoint]))
	}
	s.resume(relay, false)
}

// resume queues the arrivals of the unfinished messages for a new process, and in a handover also of
// completed ones with an attempt in flight. keepInFlight says that attempts in flight stay so, as in a
// handover; otherwise they are lost.
func (s *simulation) resume(relay *simulatedRelay, keepInFlight bool) {
	for _, message := range relay.order {
		if message.completed && (!keepInFlight || !message.hasOpen) {
			message.endAttempts()
			continue
		}
		arrived := message.arrived
		arrived.TimeLeft, arrived.Resumed, arrived.Completed = message.expires-s.now, true, message.completed
		arrived.PriorAttempts = nil
		for i := range message.attempts {
			attempt := &message.attempts[i]
			attempt.open = attempt.open && keepInFlight
			arrived.PriorAttempts = append(arrived.PriorAttempts,
				policy.PriorAttempt{Endpoint: attempt.endpoint,
					SentAt: instant.Time(attempt.sent), NotExecuted: attempt.notExecuted,
					InFlight: attempt.open, Call: attempt.call})
		}
		message.hasOpen = message.hasOpen && keepInFlight
		relay.inbox = append(relay.inbox, arrived)
	}
}

func (m *simulatedMessage) endAttempts() {
	for i := range m.attempts {
		m.attempts[i].open = false
	}
	m.hasOpen = false
}

// nextBatch returns the events of a relay's next batch.
func (s *simulation) nextBatch(relay *simulatedRelay) []policy.Event {
	events := relay.inbox
	relay.inbox = nil
	pending := relay.timers[:0]
	for _, timer := range relay.timers {
		if timer <= s.now {
			events = append(events, policy.TimerFired{})
		} else {
			pending = append(pending, timer)
		}
	}
	relay.timers = pending
	events = append(events, s.outcomes(relay)...)
	events = append(events, s.peerReports(relay)...)
	events = append(events, s.processEvents(relay)...)
	return append(events, s.arrivals(relay)...)
}

// outcomes returns the ends of the attempts that are due, and random withdrawals. It forgets completed
// messages that have no attempt in flight.
func (s *simulation) outcomes(relay *simulatedRelay) (events []policy.Event) {
	remaining := relay.order[:0]
	for _, message := range relay.order {
		if !message.completed && s.scenario.withdrawals && s.oneIn(150) {
			message.completed = true
			events = append(events, policy.Withdrawn{ID: message.arrived.ID})
		}
		if message.hasOpen {
			events = append(events, s.outcomesOf(message)...)
		}
		if message.completed && !message.hasOpen {
			delete(relay.messages, message.arrived.ID)
			continue
		}
		remaining = append(remaining, message)
	}
	relay.order = remaining
	return events
}

func (s *simulation) outcomesOf(message *simulatedMessage) (events []policy.Event) {
	message.hasOpen = false
	for i := 0; i < len(message.attempts); i++ {
		attempt := &message.attempts[i]
		if !attempt.open || attempt.due > s.now {
			message.hasOpen = message.hasOpen || attempt.open
			continue
		}
		attempt.open = false
		ending := attempt.ending
		ending.ID, ending.Endpoint, ending.Attempt = message.arrived.ID, attempt.endpoint, i
		ending.Latency = attempt.due - attempt.sent
		message.completed = message.completed || ending.Outcome == policy.OK ||
			ending.Outcome == policy.TimedOut && s.now >= message.expires
		ending.Completed = message.completed
		ending.AttemptsExhausted = ending.Outcome == policy.NotSent && s.oneIn(3)
		switch ending.Outcome {
		case policy.Rejected, policy.ConnectError, policy.NotSent, policy.NotStarted:
			attempt.notExecuted = true
		}
		events = append(events, ending)
		if s.oneIn(60) {
			events = append(events, ending) // a duplicate, which has to change nothing
		}
		if ending.Outcome == policy.NotStarted && i == len(message.attempts)-1 {
			message.attempts = message.attempts[:i] // the next attempt gets the number
		}
	}
	return events
}

// peerReports draws reports of other relays on suspected destinations or endpoints, and on send rates.
func (s *simulation) peerReports(relay *simulatedRelay) (events []policy.Event) {
	if s.scenario.suspicions && s.oneIn(25) {
		server := s.servers[s.random.Intn(len(s.servers))]
		suspected := policy.PeerSuspected{Destination: server.endpoint.Destination,
			Observers: s.random.Intn(7), OldestAge: s.randomMilliseconds(6000), ValidFor: 4 * time.Second,
			Rank: s.random.Intn(3)}
		if s.oneIn(2) {
			suspected.Destination, suspected.Endpoint = 0, server.endpoint.ID
		}
		suspected.NewestAge, suspected.RecentObservers = suspected.OldestAge/2,
			s.random.Intn(suspected.Observers+1)
		events = append(events, suspected)
	}
	if s.scenario.peerRates && len(s.publishedRates) > 0 && s.oneIn(6) {
		share := s.publishedRates[s.random.Intn(len(s.publishedRates))]
		rates := policy.PeerRateReceived{Destination: share.Destination,
			LiveRelays: 1 + s.random.Intn(relay.settings.FleetSize),
			Reporters:  1 + s.random.Intn(8), RateShare: share.RateShare * (0.6 + s.random.Float64()),
			ArrivalRate:      share.ArrivalRate * (0.5 + s.random.Float64()),
			ArrivalRateError: 0.1 * share.ArrivalRate, ValidFor: 5 * time.Second}
		if s.scenario.ratesByZone {
			for range simulatedZones {
				rates.ArrivalRateByZone = append(rates.ArrivalRateByZone,
					share.ArrivalRate*2*s.random.Float64())
			}
		}
		events = append(events, rates)
	}
	return events
}

// processEvents draws events of the process itself: storage that can or can't be written, and failures of the
// watch of the endpoint list.
func (s *simulation) processEvents(relay *simulatedRelay) (events []policy.Event) {
	if s.scenario.storageFailures && s.oneIn(40) {
		events = append(events, policy.StorageChanged{Writable: s.oneIn(2)})
	}
	if relay.settings.Subscribe && relay.subscribed && s.oneIn(60) {
		relay.subscribed = false
		events = append(events, policy.WatchFailed{})
	}
	return events
}

// arrivals draws new messages. In every second stretch of 100 steps, the load is a third.
func (s *simulation) arrivals(relay *simulatedRelay) (events []policy.Event) {
	if s.pauseSteps > 0 {
		return nil
	}
	load := s.scenario.load
	if s.step/100%2 == 1 {
		load /= 3
	}
	for expected := load; expected > 0; expected-- {
		if s.random.Float64() >= expected {
			continue
		}
		s.lastNumber++
		class := s.random.Intn(len(relay.settings.Classes))
		kind := relay.settings.Classes[class]
		message := &simulatedMessage{arrived: policy.Arrived{
			ID: fmt.Sprint("message", s.lastNumber), Class: class,
			Destination: s.random.Intn(simulatedDestinations), Size: 100 + s.random.Intn(900),
			TimeLeft: kind.Deadline - s.randomMilliseconds(1500)}}
		if kind.Ordered && s.random.Intn(5) > 0 {
			message.arrived.Key = fmt.Sprint("key", s.random.Intn(simulatedKeys))
		}
		message.expires = s.now + message.arrived.TimeLeft
		relay.messages[message.arrived.ID] = message
		relay.order = append(relay.order, message)
		events = append(events, message.arrived)
	}
	return events
}

// orderZone draws an operator's order to evacuate a zone, or to end its evacuation. One zone number in four
// does not exist; the digest covers whether Order accepted the order.
func (s *simulation) orderZone(relay *simulatedRelay) {
	if !s.scenario.zoneOrders || !s.oneIn(60) {
		return
	}
	until := instant.Time(0)
	if s.oneIn(2) {
		until = instant.Time(s.now + 2*time.Second + s.randomMilliseconds(8000))
	}
	err := relay.dispatcher.Order(s.random.Intn(simulatedZones+1), until)
	s.hash.bools(err == nil)
}
