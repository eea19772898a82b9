package policy_test

import (
	"fmt"
	"testing"
	"time"

	"milletsail/internal/instant"
	"milletsail/policy"
)

// replaceProcess kills a relay's process, or has it hand over.
func (s *scene) replaceProcess(t *testing.T, relay *simulatedRelay) {
	t.Helper()
	if relay.stopping > 0 {
		if relay.stopping--; relay.stopping == 0 {
			s.transferState(t, relay)
		}
		return
	}
	switch {
	case s.scenario.stops && s.chance(150):
		relay.inbox = append(relay.inbox, policy.ShutdownStarted{})
		relay.stopping = 12
	case s.scenario.handovers && s.chance(150):
		s.transferState(t, relay)
	case s.scenario.restarts && s.chance(150):
		s.restart(t, relay)
	}
}

// transferState passes what a process has learned, with its attempts that are out, to the next one.
func (s *scene) transferState(t *testing.T, relay *simulatedRelay) {
	t.Helper()
	later := func(at instant.Time) instant.Time { // the next process has another clock
		if at == 0 || at == instant.Never {
			return at
		}
		return at.Add(time.Millisecond)
	}
	learned, fates := relay.dispatcher.ExportState(), relay.fates
	s.begin(t, relay)
	relay.fates = fates
	for _, each := range learned {
		relay.inbox = append(relay.inbox, each.Translate(later))
	}
	s.resume(relay, true)
}

// restart begins a process anew with what the one before recorded.
func (s *scene) restart(t *testing.T, relay *simulatedRelay) {
	t.Helper()
	s.begin(t, relay)
	for _, endpoint := range relay.rememberedBy {
		relay.inbox = append(relay.inbox, policy.StateRestored(relay.remembered[endpoint]))
	}
	s.resume(relay, false)
}

// resume hands the unfinished messages to a new process; keepOut says that attempts stay out.
func (s *scene) resume(relay *simulatedRelay, keepOut bool) {
	for _, message := range relay.order {
		if message.completed && (!keepOut || !message.hasOpen) {
			message.closeAll()
			continue
		}
		arrived := message.arrived
		arrived.TimeLeft, arrived.Resumed, arrived.Completed = message.expires-s.now, true, message.completed
		arrived.PriorAttempts = nil
		for i := range message.attempts {
			attempt := &message.attempts[i]
			attempt.open = attempt.open && keepOut
			arrived.PriorAttempts = append(arrived.PriorAttempts,
				policy.PriorAttempt{Endpoint: attempt.endpoint,
					SentAt: instant.Time(attempt.sent), NotExecuted: attempt.notExecuted, InFlight: attempt.open,
					Call: attempt.call})
		}
		message.hasOpen = message.hasOpen && keepOut
		relay.inbox = append(relay.inbox, arrived)
	}
}

func (m *notification) closeAll() {
	for i := range m.attempts {
		m.attempts[i].open = false
	}
	m.hasOpen = false
}

// events gives the batch of a relay.
func (s *scene) events(relay *simulatedRelay) []policy.Event {
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
	events = append(events, s.endings(relay)...)
	events = append(events, s.fromFleet(relay)...)
	events = append(events, s.ofProcess(relay)...)
	return append(events, s.arrivals(relay)...)
}

// endings are the outcomes that are due, and withdrawals.
func (s *scene) endings(relay *simulatedRelay) (events []policy.Event) {
	remaining := relay.order[:0]
	for _, message := range relay.order {
		if !message.completed && s.scenario.withdrawn && s.chance(150) {
			message.completed = true
			events = append(events, policy.Withdrawn{ID: message.arrived.ID})
		}
		if message.hasOpen {
			events = append(events, s.endingsOf(message)...)
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

func (s *scene) endingsOf(message *notification) (events []policy.Event) {
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
		ending.AttemptsExhausted = ending.Outcome == policy.NotSent && s.chance(3)
		switch ending.Outcome {
		case policy.Rejected, policy.ConnectError, policy.NotSent, policy.NotStarted:
			attempt.notExecuted = true
		}
		events = append(events, ending)
		if s.chance(60) {
			events = append(events, ending) // doubled up: changes nothing
		}
		if ending.Outcome == policy.NotStarted && i == len(message.attempts)-1 {
			message.attempts = message.attempts[:i] // its number goes to the next one
		}
	}
	return events
}

// fromFleet draws what is found of destinations over all relays.
func (s *scene) fromFleet(relay *simulatedRelay) (events []policy.Event) {
	if s.scenario.suspicions && s.chance(25) {
		server := s.servers[s.random.Intn(len(s.servers))]
		found := policy.PeerSuspected{Destination: server.endpoint.Destination, Observers: s.random.Intn(7),
			OldestAge: s.milliseconds(6000), ValidFor: 4 * time.Second, Rank: s.random.Intn(3)}
		if s.chance(2) {
			found.Destination, found.Endpoint = 0, server.endpoint.ID
		}
		found.NewestAge, found.RecentObservers = found.OldestAge/2, s.random.Intn(found.Observers+1)
		events = append(events, found)
	}
	if s.scenario.peerRates && len(s.shares) > 0 && s.chance(6) {
		share := s.shares[s.random.Intn(len(s.shares))]
		rates := policy.PeerRateReceived{Destination: share.Destination,
			LiveRelays: 1 + s.random.Intn(relay.settings.FleetSize),
			Reporters:  1 + s.random.Intn(8), RateShare: share.RateShare * (0.6 + s.random.Float64()),
			ArrivalRate:      share.ArrivalRate * (0.5 + s.random.Float64()),
			ArrivalRateError: 0.1 * share.ArrivalRate, ValidFor: 5 * time.Second}
		if s.scenario.byZone {
			for range simulatedZones {
				rates.ArrivalRateByZone = append(rates.ArrivalRateByZone,
					share.ArrivalRate*2*s.random.Float64())
			}
		}
		events = append(events, rates)
	}
	return events
}

// ofProcess draws what befalls the process itself.
func (s *scene) ofProcess(relay *simulatedRelay) (events []policy.Event) {
	if s.scenario.unwritten && s.chance(40) {
		events = append(events, policy.StorageChanged{Writable: s.chance(2)})
	}
	if relay.settings.Subscribe && relay.subscribed && s.chance(60) {
		relay.subscribed = false
		events = append(events, policy.WatchFailed{})
	}
	return events
}

// arrivals draws new messages, in phases of much and of little traffic.
func (s *scene) arrivals(relay *simulatedRelay) (events []policy.Event) {
	if s.quiet > 0 {
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
		s.names++
		class := s.random.Intn(len(relay.settings.Classes))
		kind := relay.settings.Classes[class]
		message := &notification{arrived: policy.Arrived{ID: fmt.Sprint("message", s.names), Class: class,
			Destination: s.random.Intn(simulatedDestinations), Size: 100 + s.random.Intn(900),
			TimeLeft: kind.Deadline - s.milliseconds(1500)}}
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

// order has operators order a zone left or restored; an order that makes no sense is refused.
func (s *scene) order(relay *simulatedRelay) {
	if !s.scenario.orders || !s.chance(60) {
		return
	}
	until := instant.Time(0)
	if s.chance(2) {
		until = instant.Time(s.now + 2*time.Second + s.milliseconds(8000))
	}
	err := relay.dispatcher.Order(s.random.Intn(simulatedZones+1), until)
	s.record.flag(err == nil)
}
