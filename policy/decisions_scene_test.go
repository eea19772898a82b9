package policy_test

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"milletsail/internal/instant"
	"milletsail/policy"
)

// This file holds the simulation that drives the dispatchers of decisions_digest_test.go: relays that share
// simulated servers with limits, latencies and faults. It draws everything from one seed.

// condition is how a simulated server does for the time being.
type condition int

// The conditions of a server.
const (
	working     condition = iota // answers, with few errors
	slow                         // answers late
	failing                      // answers with errors
	rejecting                    // refuses every call
	waiting                      // refuses every call and tells a wait
	hanging                      // never answers
	unreachable                  // takes no connection
	lossy                        // loses part of the calls
	crowdedOut                   // takes only some of the connections
	conditions                   // their number
)

// scenario is one case: settings, and what the simulation does beside the ordinary traffic.
type scenario struct {
	settings  policy.Settings
	load      float64 // traffic as a multiple of what the listed rates allow
	faults    float64 // chance of a change of a server's condition in a step, as a multiple of the usual
	outages   bool    // whole zones fail together
	orders    bool    // operators order zones left and restored
	accused   bool    // findings of the fleet come in
	paced     bool    // rates of the fleet come in
	byZone    bool    // and with them the traffic of each zone
	joining   bool    // endpoints that have just started are listed
	onDemand  bool    // state on demand, with pauses in which it goes
	restarts  bool    // processes are killed and begun anew
	handovers bool    // processes hand over to the next
	stops     bool    // and are told so ahead
	unwritten bool    // attempts cannot be recorded at times
	errors    bool    // one in five calls fails wherever it goes
	unsent    bool    // calls are often not begun, for a lack at the relay
	reports   bool    // destinations report their load
	withdrawn bool    // clients give up
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
	endpoint string
	call     int
	sent     time.Duration
	due      time.Duration
	ending   policy.AttemptEnded
	open     bool
	unrun    bool
}

// notification is one message as the simulation sees it.
type notification struct {
	arrived  policy.Arrived
	expires  time.Duration
	attempts []attemptOut
	over     bool
	hasOpen  bool
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
	wakes        []time.Duration
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
		relay := &simulatedRelay{number: number, settings: plan.settings, messages: map[string]*notification{},
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
	relay.dispatcher, relay.wakes, relay.fates = dispatcher, nil, map[int]callFate{}
	relay.subscribed = !relay.settings.Subscribe
	relay.inbox = append([]policy.Event{s.wholeList()}, relay.inbox...)
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

func (s *scene) wholeList() policy.EndpointsUpdated {
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
				s.take(relay, action)
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
			for _, wake := range relay.wakes {
				if wake > s.now {
					after = min(after, wake-s.now)
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
		list = s.wholeList()
	}
	for _, relay := range s.relays {
		if relay.subscribed {
			relay.inbox = append(relay.inbox, list)
		}
	}
}

// replaceProcess kills a relay's process, or has it hand over.
func (s *scene) replaceProcess(t *testing.T, relay *simulatedRelay) {
	t.Helper()
	if relay.stopping > 0 {
		if relay.stopping--; relay.stopping == 0 {
			s.handOver(t, relay)
		}
		return
	}
	switch {
	case s.scenario.stops && s.chance(150):
		relay.inbox = append(relay.inbox, policy.ShutdownStarted{})
		relay.stopping = 12
	case s.scenario.handovers && s.chance(150):
		s.handOver(t, relay)
	case s.scenario.restarts && s.chance(150):
		s.restart(t, relay)
	}
}

// handOver passes what a process has learned, with its attempts that are out, to the next one.
func (s *scene) handOver(t *testing.T, relay *simulatedRelay) {
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
		if message.over && (!keepOut || !message.hasOpen) {
			message.closeAll()
			continue
		}
		arrived := message.arrived
		arrived.TimeLeft, arrived.Resumed, arrived.Completed = message.expires-s.now, true, message.over
		arrived.PriorAttempts = nil
		for i := range message.attempts {
			attempt := &message.attempts[i]
			attempt.open = attempt.open && keepOut
			arrived.PriorAttempts = append(arrived.PriorAttempts, policy.PriorAttempt{Endpoint: attempt.endpoint,
				SentAt: instant.Time(attempt.sent), NotExecuted: attempt.unrun, InFlight: attempt.open, Call: attempt.call})
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
	kept := relay.wakes[:0]
	for _, wake := range relay.wakes {
		if wake <= s.now {
			events = append(events, policy.TimerFired{})
		} else {
			kept = append(kept, wake)
		}
	}
	relay.wakes = kept
	events = append(events, s.endings(relay)...)
	events = append(events, s.fromFleet(relay)...)
	events = append(events, s.ofProcess(relay)...)
	return append(events, s.arrivals(relay)...)
}

// endings are the outcomes that are due, and withdrawals.
func (s *scene) endings(relay *simulatedRelay) (events []policy.Event) {
	kept := relay.order[:0]
	for _, message := range relay.order {
		if !message.over && s.scenario.withdrawn && s.chance(150) {
			message.over = true
			events = append(events, policy.Withdrawn{ID: message.arrived.ID})
		}
		if message.hasOpen {
			events = append(events, s.endingsOf(message)...)
		}
		if message.over && !message.hasOpen {
			delete(relay.messages, message.arrived.ID)
			continue
		}
		kept = append(kept, message)
	}
	relay.order = kept
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
		message.over = message.over || ending.Outcome == policy.OK ||
			ending.Outcome == policy.TimedOut && s.now >= message.expires
		ending.Completed = message.over
		ending.AttemptsExhausted = ending.Outcome == policy.NotSent && s.chance(3)
		switch ending.Outcome {
		case policy.Rejected, policy.ConnectError, policy.NotSent, policy.NotStarted:
			attempt.unrun = true
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
	if s.scenario.accused && s.chance(25) {
		server := s.servers[s.random.Intn(len(s.servers))]
		found := policy.PeerSuspected{Destination: server.endpoint.Destination, Observers: s.random.Intn(7),
			OldestAge: s.milliseconds(6000), ValidFor: 4 * time.Second, Rank: s.random.Intn(3)}
		if s.chance(2) {
			found.Destination, found.Endpoint = 0, server.endpoint.ID
		}
		found.NewestAge, found.RecentObservers = found.OldestAge/2, s.random.Intn(found.Observers+1)
		events = append(events, found)
	}
	if s.scenario.paced && len(s.shares) > 0 && s.chance(6) {
		share := s.shares[s.random.Intn(len(s.shares))]
		rates := policy.PeerRateReceived{Destination: share.Destination, LiveRelays: 1 + s.random.Intn(relay.settings.FleetSize),
			Reporters: 1 + s.random.Intn(8), RateShare: share.RateShare * (0.6 + s.random.Float64()),
			ArrivalRate: share.ArrivalRate * (0.5 + s.random.Float64()), ArrivalRateError: 0.1 * share.ArrivalRate, ValidFor: 5 * time.Second}
		if s.scenario.byZone {
			for range simulatedZones {
				rates.ArrivalRateByZone = append(rates.ArrivalRateByZone, share.ArrivalRate*2*s.random.Float64())
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

// take does what a relay wants done.
func (s *scene) take(relay *simulatedRelay, action policy.Action) {
	switch action := action.(type) {
	case policy.Send:
		s.send(relay, action)
	case policy.Reject:
		relay.messages[action.ID].over = true
	case policy.Fail:
		relay.messages[action.ID].over = true
	case policy.Cancel:
		if message := relay.messages[action.ID]; message != nil {
			s.cut(&message.attempts[action.Attempt], policy.Canceled)
		}
	case policy.CancelUnwritten:
		s.withhold(relay, action.Endpoint)
	case policy.SetTimer:
		relay.wakes = append(relay.wakes, s.now+action.After)
	case policy.Subscribe:
		relay.subscribed = true
		relay.inbox = append(relay.inbox, s.wholeList())
	case policy.PersistHealth:
		if _, known := relay.remembered[action.Endpoint]; !known {
			relay.rememberedBy = append(relay.rememberedBy, action.Endpoint)
		}
		relay.remembered[action.Endpoint] = action
	case policy.PublishRate:
		s.shares = append(s.shares, action)
	case policy.Broadcast:
		s.tell(relay, action)
	}
}

// tell brings a note to the other relays; some are lost, some come twice.
func (s *scene) tell(from *simulatedRelay, action policy.Broadcast) {
	for _, relay := range s.relays {
		if relay == from || s.chance(20) {
			continue
		}
		relay.inbox = append(relay.inbox, policy.GossipReceived(action))
		if s.chance(20) {
			relay.inbox = append(relay.inbox, policy.GossipReceived(action))
		}
	}
}

// cut ends an attempt that is out with the next batch.
func (s *scene) cut(attempt *attemptOut, outcome policy.Outcome) {
	if attempt.open && attempt.due > s.now {
		attempt.due, attempt.ending = s.now, policy.AttemptEnded{Outcome: outcome}
	}
}

// withhold has half of the calls to an endpoint that are just begun come back unwritten.
func (s *scene) withhold(relay *simulatedRelay, endpoint string) {
	for _, message := range relay.order {
		for i := range message.attempts {
			attempt := &message.attempts[i]
			just := attempt.sent >= s.now-20*time.Millisecond
			if attempt.endpoint == endpoint && attempt.open && just && attempt.call%2 == 0 {
				s.cut(attempt, policy.NotSent)
			}
		}
	}
}

// send begins an attempt; the messages of one call share its fate.
func (s *scene) send(relay *simulatedRelay, action policy.Send) {
	message := relay.messages[action.ID]
	fate, known := relay.fates[action.Call]
	if !known {
		fate = s.fate(s.server(action.Endpoint), message.arrived.Class)
		relay.fates[action.Call] = fate
	}
	attempt := attemptOut{endpoint: action.Endpoint, call: action.Call, sent: s.now, due: s.now + fate.after,
		ending: fate.ending, open: true}
	limit := message.expires
	if action.Timeout > 0 {
		limit = min(limit, s.now+action.Timeout)
	}
	if attempt.due > limit {
		attempt.due, attempt.ending = limit, policy.AttemptEnded{Outcome: policy.TimedOut}
	}
	message.attempts = append(message.attempts, attempt)
	message.hasOpen = true
}

// fate draws what becomes of a call.
func (s *scene) fate(server *simulatedServer, class int) callFate {
	soon := 5*time.Millisecond + s.milliseconds(15)
	ended := func(outcome policy.Outcome, after time.Duration) callFate {
		return callFate{policy.AttemptEnded{Outcome: outcome}, after}
	}
	if server == nil { // gone, and the relay does not know it
		return ended(policy.ConnectError, soon)
	}
	took := time.Duration(float64(server.latency) * (0.5 + s.random.ExpFloat64()/2) * float64(1+class) / 2)
	if lacking := s.chance(8); s.scenario.unsent && lacking {
		return ended(policy.NotStarted, soon)
	}
	if s.scenario.errors && s.random.Intn(5) == 0 || server.flawed && s.chance(3) {
		return ended(policy.Failed, took)
	}
	switch server.condition {
	case slow:
		return ended(policy.OK, 4*took)
	case failing:
		if s.chance(3) {
			return ended(policy.Reset, took)
		}
		return ended(policy.Failed, took)
	case rejecting:
		return ended(policy.Rejected, soon)
	case waiting:
		return callFate{policy.AttemptEnded{Outcome: policy.Rejected, RetryAfter: s.milliseconds(4000)}, soon}
	case hanging:
		return ended(policy.TimedOut, time.Hour)
	case unreachable:
		return ended(policy.ConnectError, soon)
	case lossy:
		if s.chance(3) {
			return ended(policy.TimedOut, time.Hour)
		}
	case crowdedOut:
		if s.chance(2) {
			return ended(policy.ConnectError, soon)
		}
	}
	return s.answer(server, took, soon)
}

// answer is what a server that works makes of a call: it keeps to its limit and errs now and then.
func (s *scene) answer(server *simulatedServer, took, soon time.Duration) callFate {
	allowed, left := s.allow(server.endpoint)
	if !allowed {
		full := policy.AttemptEnded{Outcome: policy.Rejected}
		if s.chance(6) {
			full.RetryAfter = s.milliseconds(2500)
		}
		return callFate{full, soon}
	}
	ended := policy.AttemptEnded{Outcome: policy.OK}
	if s.chance(40) {
		ended.Outcome = policy.Outcome(s.random.Intn(int(policy.NotStarted) + 1))
	}
	if s.scenario.reports && ended.Outcome == policy.OK {
		ended.LoadReport = &policy.LoadReport{Remaining: left, Limit: server.endpoint.Weight}
	}
	return callFate{ended, took}
}

// allow takes a call from the allowance of a destination or route, and tells what share of it is left.
func (s *scene) allow(endpoint policy.Endpoint) (allowed bool, left float64) {
	scope := fmt.Sprint("destination", endpoint.Destination)
	if s.scenario.settings.Kinds[endpoint.Kind].SeparateRoutes {
		scope = endpoint.ID
	}
	instances := max(simulatedRelays, s.scenario.settings.FleetSize)
	rate := endpoint.Weight * simulatedRelays / float64(instances)
	depth := math.Max(2, rate)
	limit := s.allowances[scope]
	if limit == nil {
		limit = &allowance{tokens: depth, at: s.now}
		s.allowances[scope] = limit
	}
	limit.tokens = math.Min(depth, limit.tokens+rate*(s.now-limit.at).Seconds())
	limit.at = s.now
	if limit.tokens < 1 {
		return false, 0
	}
	limit.tokens--
	return true, limit.tokens / depth
}
