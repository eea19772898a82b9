package policy_test

// This file holds the simulation that drives the dispatchers of decisions_digest_test.go: relays that share
// simulated servers with limits, latencies and faults. It draws everything from one seed.

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"milletsail/internal/instant"
	"milletsail/policy"
)

// condition is how a simulated server does for the time being.
type condition int

// The conditions of a server.
const (
	working         condition = iota // answers, with few errors
	slow                             // answers late
	failing                          // answers with errors
	rejecting                        // refuses every call
	waiting                          // refuses every call and tells a wait
	hanging                          // never answers
	unreachable                      // takes no connection
	lossy                            // loses part of the calls
	connectionsFull                  // takes only some of the connections
	conditions                       // their number
)

// scenario is one case: settings, and what the simulation does beside the ordinary traffic.
type scenario struct {
	settings   policy.Settings
	load       float64 // traffic as a multiple of what the listed rates allow
	faults     float64 // chance of a change of a server's condition in a step, as a multiple of the usual
	outages    bool    // whole zones fail together
	orders     bool    // operators order zones left and restored
	suspicions bool    // findings of the fleet come in
	peerRates  bool    // rates of the fleet come in
	byZone     bool    // and with them the traffic of each zone
	joining    bool    // endpoints that have just started are listed
	onDemand   bool    // state on demand, with pauses in which it goes
	restarts   bool    // processes are killed and begun anew
	handovers  bool    // processes hand over to the next
	stops      bool    // and are told so ahead
	unwritten  bool    // attempts cannot be recorded at times
	errors     bool    // one in five calls fails wherever it goes
	unsent     bool    // calls are often not begun, for a lack at the relay
	reports    bool    // destinations report their load
	withdrawn  bool    // clients give up
}

// simulatedServer is one endpoint and the truth about it.
type simulatedServer struct {
	endpoint  policy.Endpoint
	condition condition
	latency   time.Duration
	flawed    bool // fails far more often than others
}

// allowance is the true limit of a destination, or of a route.
type allowance struct {
	tokens float64
	at     time.Duration
}

// attemptOut is one attempt as the simulation sees it.
type attemptOut struct {
	endpoint    string
	call        int
	sent        time.Duration
	due         time.Duration
	ending      policy.AttemptEnded
	open        bool
	notExecuted bool
}

// notification is one message as the simulation sees it.
type notification struct {
	arrived   policy.Arrived
	expires   time.Duration
	attempts  []attemptOut
	completed bool
	hasOpen   bool
}

// callFate is what becomes of one call, for all messages in it.
type callFate struct {
	ending policy.AttemptEnded
	after  time.Duration
}

// simulatedRelay is one dispatcher and what its process would hold.
type simulatedRelay struct {
	number       int
	settings     policy.Settings
	dispatcher   *policy.Dispatcher
	messages     map[string]*notification
	order        []*notification
	timers       []time.Duration
	inbox        []policy.Event
	fates        map[int]callFate
	remembered   map[string]policy.PersistHealth
	rememberedBy []string
	subscribed   bool
	stopping     int // steps until the process hands over
}

// scene runs the relays of a scenario.
type scene struct {
	scenario   scenario
	random     *rand.Rand
	seed       int64
	now        time.Duration
	step       int
	names      int
	quiet      int // steps left in which nothing arrives
	servers    []*simulatedServer
	allowances map[string]*allowance
	relays     []*simulatedRelay
	shares     []policy.PublishRate
	record     *decisionRecord
}

const (
	simulatedRelays       = 2
	simulatedDestinations = 6
	simulatedZones        = 3
	simulatedKeys         = 4
	// pauseOfTraffic is longer than state on demand stays.
	pauseOfTraffic = 130 * time.Second
)

// newScene lists the servers to new relays.
func newScene(t *testing.T, plan scenario, seed int64, record *decisionRecord) *scene {
	t.Helper()
	s := &scene{scenario: plan, random: rand.New(rand.NewSource(seed)), seed: seed, now: time.Hour,
		allowances: map[string]*allowance{}, record: record}
	for destination := range simulatedDestinations {
		for zone := range simulatedZones {
			s.addServer(destination, zone)
		}
	}
	for number := range simulatedRelays {
		relay := &simulatedRelay{number: number, settings: plan.settings,
			messages:   map[string]*notification{},
			remembered: map[string]policy.PersistHealth{}}
		relay.settings.Zone = number % simulatedZones
		if plan.onDemand {
			relay.settings.Directory = s
		}
		s.relays = append(s.relays, relay)
		s.begin(t, relay)
	}
	return s
}

// begin starts a relay's process.
func (s *scene) begin(t *testing.T, relay *simulatedRelay) {
	t.Helper()
	dispatcher, err := policy.New(relay.settings, s.seed*simulatedRelays+int64(relay.number))
	if err != nil {
		t.Fatal(err)
	}
	relay.dispatcher, relay.timers, relay.fates = dispatcher, nil, map[int]callFate{}
	relay.subscribed = !relay.settings.Subscribe
	relay.inbox = append([]policy.Event{s.completeList()}, relay.inbox...)
}

func (s *scene) addServer(destination, zone int) *simulatedServer {
	s.names++
	weight := 3 + 4*float64(destination)
	if destination%2 == 1 { // the others are sparse in a large fleet
		weight *= math.Max(1, float64(s.scenario.settings.FleetSize)/3)
	}
	server := &simulatedServer{latency: time.Duration(20+s.random.Intn(200)) * time.Millisecond,
		endpoint: policy.Endpoint{ID: fmt.Sprint("endpoint", s.names), Destination: destination,
			Kind: destination % 3, Zone: zone, Weight: weight}}
	s.servers = append(s.servers, server)
	return server
}

// Endpoints and Destination make a scene the Directory of its servers.
func (s *scene) Endpoints(destination int) (listed []policy.Endpoint) {
	for _, server := range s.servers {
		if server.endpoint.Destination == destination {
			listed = append(listed, server.endpoint)
		}
	}
	return listed
}

func (s *scene) Destination(endpoint string) (int, bool) {
	if server := s.server(endpoint); server != nil {
		return server.endpoint.Destination, true
	}
	return 0, false
}

func (s *scene) server(endpoint string) *simulatedServer {
	for _, server := range s.servers {
		if server.endpoint.ID == endpoint {
			return server
		}
	}
	return nil
}

func (s *scene) completeList() policy.EndpointsUpdated {
	list := policy.EndpointsUpdated{Complete: true}
	for _, server := range s.servers {
		list.Endpoints = append(list.Endpoints, server.endpoint)
	}
	return list
}

// chance is true once in so many times.
func (s *scene) chance(times int) bool { return s.random.Intn(times) == 0 }

// milliseconds draws a span below a number of milliseconds.
func (s *scene) milliseconds(below int) time.Duration {
	return time.Duration(s.random.Intn(below)) * time.Millisecond
}

// run plays so many steps.
func (s *scene) run(t *testing.T, steps int) {
	t.Helper()
	for s.step = range steps {
		s.advance()
		s.changeConditions()
		s.changeList()
		for _, relay := range s.relays {
			s.replaceProcess(t, relay)
			events := s.events(relay)
			s.order(relay)
			actions := relay.dispatcher.Handle(instant.Time(s.now), events)
			s.record.step(t, relay.number, actions)
			for _, action := range actions {
				s.perform(relay, action)
			}
			s.record.queries(t, relay.dispatcher, s.step%10 == 0)
		}
	}
}

// advance moves the clock, and lets traffic pause where state is on demand.
func (s *scene) advance() {
	after := time.Duration(1+s.random.Intn(16)) * 5 * time.Millisecond
	if s.chance(3) { // a timer that is exact
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
	case s.quiet > 1:
		s.quiet--
	case s.quiet == 1:
		s.quiet = 0
		s.now += pauseOfTraffic
	case s.chance(250):
		s.quiet = 80
	}
}

// changeConditions has servers, and at times whole zones, fail and come back.
func (s *scene) changeConditions() {
	for _, server := range s.servers {
		often := 250.0
		if server.condition != working {
			often = 70
		}
		if s.random.Float64()*often < s.scenario.faults {
			server.condition = working
			if s.chance(2) {
				server.condition = condition(s.random.Intn(int(conditions)))
			}
		}
	}
	s.changeDestination()
	if s.scenario.outages && s.chance(120) {
		zone, state := s.random.Intn(simulatedZones), condition(s.random.Intn(int(conditions)))
		for _, server := range s.servers {
			server.condition = working
			if server.endpoint.Zone == zone {
				server.condition = state
			}
		}
	}
}

// changeDestination has all servers of a destination fail or work.
func (s *scene) changeDestination() {
	if s.random.Float64()*120 >= s.scenario.faults {
		return
	}
	destination, state := s.random.Intn(simulatedDestinations), working
	if s.chance(2) {
		state = condition(s.random.Intn(int(conditions)))
	}
	for _, server := range s.servers {
		if server.endpoint.Destination == destination {
			server.condition = state
		}
	}
}

// changeList has endpoints drain, go, come and start anew.
func (s *scene) changeList() {
	often := 90
	if s.scenario.joining {
		often = 40
	}
	if !s.chance(often) {
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
		server.flawed = s.chance(2)
		server.endpoint.StartedAt = instant.Time(s.now - s.milliseconds(2000))
	default:
		server.endpoint.StartedAt = instant.Time(s.now)
	}
	list := policy.EndpointsUpdated{Endpoints: []policy.Endpoint{server.endpoint}}
	if !s.scenario.onDemand && s.chance(5) {
		list = s.completeList()
	}
	for _, relay := range s.relays {
		if relay.subscribed {
			relay.inbox = append(relay.inbox, list)
		}
	}
}
