package policy_test

// This file holds the simulation that drives the dispatchers of TestDecisionsDigest: relays that share
// simulated servers with rate limits, latencies and faults. All random values come from one seed.

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"milletsail/internal/instant"
	"milletsail/policy"
)

// serverCondition is the present behaviour of a simulated server.
type serverCondition int

// The conditions of a server.
const (
	healthy                 serverCondition = iota // accepts calls, with few errors
	slow                                           // takes four times as long
	failing                                        // responds with errors or resets the connection
	rejecting                                      // rejects every call
	rejectingWithRetryAfter                        // rejects every call with a Retry-After
	hanging                                        // never responds
	unreachable                                    // accepts no connection
	lossy                                          // never responds to a third of the calls
	connectionsFull                                // refuses half of the connections
	conditionCount                                 // number of conditions
)

// scenario is the configuration of one simulation: the settings of the relays, and the events that occur
// beside the basic traffic.
type scenario struct {
	settings           policy.Settings
	load               float64 // mean number of messages that arrive at a relay in a step; see arrivals
	faultRate          float64 // factor of the probability that a condition changes
	zoneOutages        bool    // all servers of a zone fail together
	zoneOrders         bool    // operators order evacuations of zones, and end them
	suspicions         bool    // PeerSuspected events arrive
	peerRates          bool    // PeerRateReceived events arrive
	ratesByZone        bool    // PeerRateReceived events include arrival rates by zone
	newEndpoints       bool    // the endpoint list changes more often, so that more new endpoints join
	onDemand           bool    // relays have a Directory, and pauses in the traffic let idle state be dropped
	restarts           bool    // processes crash and restart
	handovers          bool    // processes hand over without notice
	announcedHandovers bool    // processes hand over some steps after ShutdownStarted
	storageFailures    bool    // storage can't be written at times
	errorsEverywhere   bool    // one in five calls fails, whatever the endpoint
	notStarted         bool    // one in eight calls ends with NotStarted, for lack of local resources
	loadReports        bool    // responses contain a LoadReport
	withdrawals        bool    // clients withdraw messages
}

// simulatedServer is an endpoint with its actual behaviour, which the relays don't know.
type simulatedServer struct {
	endpoint  policy.Endpoint
	condition serverCondition
	latency   time.Duration
	flawed    bool // fails one in three calls in addition to the faults of its condition
}

// rateLimit is the token bucket with which a destination, or a route, limits calls.
type rateLimit struct {
	tokens float64
	at     time.Duration
}

// simulatedAttempt is one attempt at a message, with the end that was drawn for it.
type simulatedAttempt struct {
	endpoint    string
	call        int
	sent        time.Duration
	due         time.Duration // when the attempt ends
	ending      policy.AttemptEnded
	open        bool
	notExecuted bool // whether the outcome proves that it was not executed
}

// simulatedMessage is a message that has arrived at a relay.
type simulatedMessage struct {
	arrived   policy.Arrived
	expires   time.Duration
	attempts  []simulatedAttempt
	completed bool
	hasOpen   bool // whether an attempt is in flight
}

// callResult is the end that was drawn for one call. Its messages share it, unless one of them times out or
// is canceled before.
type callResult struct {
	ending policy.AttemptEnded
	after  time.Duration // time from the start of the call to its end
}

// simulatedRelay is a dispatcher with the state that its process would keep.
type simulatedRelay struct {
	number          int
	settings        policy.Settings
	dispatcher      *policy.Dispatcher
	messages        map[string]*simulatedMessage    // by ID
	order           []*simulatedMessage             // in order of arrival
	timers          []time.Duration                 // times at which TimerFired is due
	inbox           []policy.Event                  // first events of the next batch
	results         map[int]callResult              // drawn results, by Send.Call
	persisted       map[string]policy.PersistHealth // last PersistHealth, by endpoint
	persistedOrder  []string                        // keys of persisted, by their first PersistHealth
	subscribed      bool
	stepsToHandover int // steps until the process hands over; 0 if it is not stopping
}

// simulation runs the relays of a scenario against simulated servers.
type simulation struct {
	scenario       scenario
	random         *rand.Rand
	seed           int64
	now            time.Duration
	step           int
	lastNumber     int // last number used in the ID of an endpoint or message
	pauseSteps     int // steps without new messages until the clock moves by trafficPause; 0 for no pause
	servers        []*simulatedServer
	limits         map[string]*rateLimit // by destination or route, see takeToken
	relays         []*simulatedRelay
	publishedRates []policy.PublishRate // rates that any relay has published
	hash           *decisionHash
}

const (
	simulatedRelays       = 2
	simulatedDestinations = 6
	simulatedZones        = 3
	simulatedKeys         = 4
	// trafficPause is longer than stateIdleTimeout, after which idle state may be dropped.
	trafficPause = 130 * time.Second
)

// newSimulation returns a simulation with new servers, and relays that have them listed.
func newSimulation(t *testing.T, sc scenario, seed int64, hash *decisionHash) *simulation {
	t.Helper()
	s := &simulation{scenario: sc, random: rand.New(rand.NewSource(seed)), seed: seed, now: time.Hour,
		limits: map[string]*rateLimit{}, hash: hash}
	for destination := range simulatedDestinations {
		for zone := range simulatedZones {
			s.addServer(destination, zone)
		}
	}
	for number := range simulatedRelays {
		relay := &simulatedRelay{number: number, settings: sc.settings,
			messages:  map[string]*simulatedMessage{},
			persisted: map[string]policy.PersistHealth{}}
		relay.settings.Zone = number % simulatedZones
		if sc.onDemand {
			relay.settings.Directory = s
		}
		s.relays = append(s.relays, relay)
		s.startProcess(t, relay)
	}
	return s
}

// startProcess starts a process of a relay: it has a new dispatcher, no timers, and the complete endpoint
// list as its first event.
func (s *simulation) startProcess(t *testing.T, relay *simulatedRelay) {
	t.Helper()
	dispatcher, err := policy.New(relay.settings, s.seed*simulatedRelays+int64(relay.number))
	if err != nil {
		t.Fatal(err)
	}
	relay.dispatcher, relay.timers, relay.results = dispatcher, nil, map[int]callResult{}
	relay.subscribed = !relay.settings.Subscribe
	relay.inbox = append([]policy.Event{s.completeList()}, relay.inbox...)
}

func (s *simulation) addServer(destination, zone int) *simulatedServer {
	s.lastNumber++
	weight := 3 + 4*float64(destination)
	if destination%2 == 1 { // scaled up, so that only even destinations have a low rate for each relay
		weight *= math.Max(1, float64(s.scenario.settings.FleetSize)/3)
	}
	server := &simulatedServer{latency: time.Duration(20+s.random.Intn(200)) * time.Millisecond,
		endpoint: policy.Endpoint{ID: fmt.Sprint("endpoint", s.lastNumber), Destination: destination,
			Kind: destination % 3, Zone: zone, Weight: weight}}
	s.servers = append(s.servers, server)
	return server
}

// Endpoints returns the endpoints of a destination's servers. With Destination, it implements
// policy.Directory.
func (s *simulation) Endpoints(destination int) (listed []policy.Endpoint) {
	for _, server := range s.servers {
		if server.endpoint.Destination == destination {
			listed = append(listed, server.endpoint)
		}
	}
	return listed
}

func (s *simulation) Destination(endpoint string) (int, bool) {
	if server := s.server(endpoint); server != nil {
		return server.endpoint.Destination, true
	}
	return 0, false
}

func (s *simulation) server(endpoint string) *simulatedServer {
	for _, server := range s.servers {
		if server.endpoint.ID == endpoint {
			return server
		}
	}
	return nil
}

func (s *simulation) completeList() policy.EndpointsUpdated {
	list := policy.EndpointsUpdated{Complete: true}
	for _, server := range s.servers {
		list.Endpoints = append(list.Endpoints, server.endpoint)
	}
	return list
}

// oneIn returns true with probability 1/times.
func (s *simulation) oneIn(times int) bool { return s.random.Intn(times) == 0 }

// randomMilliseconds draws a duration of 0 to below-1 milliseconds.
func (s *simulation) randomMilliseconds(below int) time.Duration {
	return time.Duration(s.random.Intn(below)) * time.Millisecond
}

// run runs the simulation for a number of steps. In each, every relay handles one batch.
func (s *simulation) run(t *testing.T, steps int) {
	t.Helper()
	for s.step = range steps {
		s.advanceClock()
		s.changeConditions()
		s.changeList()
		for _, relay := range s.relays {
			s.replaceProcess(t, relay)
			events := s.nextBatch(relay)
			s.orderZone(relay)
			actions := relay.dispatcher.Handle(instant.Time(s.now), events)
			s.hash.batch(t, relay.number, actions)
			for _, action := range actions {
				s.apply(relay, action)
			}
			s.hash.dispatcherState(t, relay.dispatcher, s.step%10 == 0)
		}
	}
}

// advanceClock moves the clock by 5 to 80 ms, or less to reach the next timer exactly. Where state is kept on
// demand, it also pauses the traffic at times.
func (s *simulation) advanceClock() {
	after := time.Duration(1+s.random.Intn(16)) * 5 * time.Millisecond
	if s.oneIn(3) { // stop at the next timer exactly
		for _, relay := range s.relays {
			for _, timer := range relay.timers {
				if timer > s.now {
					after = min(after, timer-s.now)
				}
			}
		}
	}
	s.now += after
	if !s.scenario.onDemand {
		return
	}
	switch {
	case s.pauseSteps > 1:
		s.pauseSteps--
	case s.pauseSteps == 1:
		s.pauseSteps = 0
		s.now += trafficPause
	case s.oneIn(250):
		s.pauseSteps = 80
	}
}

// changeConditions makes servers, all servers of a destination, and those of a zone fail and recover at
// random.
func (s *simulation) changeConditions() {
	for _, server := range s.servers {
		meanSteps := 250.0
		if server.condition != healthy {
			meanSteps = 70
		}
		if s.random.Float64()*meanSteps < s.scenario.faultRate {
			server.condition = healthy
			if s.oneIn(2) {
				server.condition = serverCondition(s.random.Intn(int(conditionCount)))
			}
		}
	}
	s.changeDestination()
	if s.scenario.zoneOutages && s.oneIn(120) {
		zone, condition := s.random.Intn(simulatedZones), serverCondition(s.random.Intn(int(conditionCount)))
		for _, server := range s.servers {
			server.condition = healthy
			if server.endpoint.Zone == zone {
				server.condition = condition
			}
		}
	}
}

// changeDestination draws one condition for all servers of a random destination.
func (s *simulation) changeDestination() {
	if s.random.Float64()*120 >= s.scenario.faultRate {
		return
	}
	destination, condition := s.random.Intn(simulatedDestinations), healthy
	if s.oneIn(2) {
		condition = serverCondition(s.random.Intn(int(conditionCount)))
	}
	for _, server := range s.servers {
		if server.endpoint.Destination == destination {
			server.condition = condition
		}
	}
}

// changeList makes one endpoint drain, leave, change its weight, join or restart, and reports it to the
// relays.
func (s *simulation) changeList() {
	meanSteps := 90
	if s.scenario.newEndpoints {
		meanSteps = 40
	}
	if !s.oneIn(meanSteps) {
		return
	}
	i := s.random.Intn(len(s.servers))
	server := s.servers[i]
	switch draw := s.random.Intn(6); {
	case draw < 2:
		server.endpoint.Draining = !server.endpoint.Draining
	case draw == 2 && len(s.Endpoints(server.endpoint.Destination)) > 2:
		server.endpoint.Removed = true
		s.servers = append(s.servers[:i:i], s.servers[i+1:]...)
	case draw == 3:
		server.endpoint.Weight *= 0.5 + s.random.Float64()
	case len(s.Endpoints(server.endpoint.Destination)) < 5:
		server = s.addServer(server.endpoint.Destination, s.random.Intn(simulatedZones))
		server.flawed = s.oneIn(2)
		server.endpoint.StartedAt = instant.Time(s.now - s.randomMilliseconds(2000))
	default:
		server.endpoint.StartedAt = instant.Time(s.now)
	}
	list := policy.EndpointsUpdated{Endpoints: []policy.Endpoint{server.endpoint}}
	if !s.scenario.onDemand && s.oneIn(5) {
		list = s.completeList()
	}
	for _, relay := range s.relays {
		if relay.subscribed {
			relay.inbox = append(relay.inbox, list)
		}
	}
}
