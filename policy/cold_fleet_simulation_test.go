package policy_test

// This file holds the simulation of TestColdFleetBudget: a fleet of dispatchers that share one destination,
// whose endpoints go through outages and return cold. All random values come from one seed.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"milletsail/internal/instant"
	"milletsail/policy"
)

const (
	coldStep          = 5 * time.Millisecond // time between two batches of a relay
	coldWarmUp        = 15 * time.Second     // time before the first outage
	coldRestartDelay  = 600 * time.Millisecond
	coldDeadline      = 12 * time.Second
	coldReturnShare   = 0.7 // share of the rejected messages that clients hand in again
	coldMaxHandIns    = 3
	coldReturnDelay   = time.Second
	observedCallShare = 2.0 / 3 // the rule is broken if more of the calls came from notified relays
)

// outageKind is the way in which the endpoints of the simulated destination fail during an outage.
type outageKind int

// The kinds of outage.
const (
	refusesConnections outageKind = iota
	neverAnswers
	answersErrors // to a share of the calls
	rejectsCalls
	outageKinds // number of kinds
)

var outageKindNames = [...]string{"refuses connections", "never answers", "answers errors", "rejects calls"}

// coldCase is what the seed of one simulation determines.
type coldCase struct {
	seed         int64
	relays       int
	endpoints    int
	budget       float64 // calls that one endpoint can take within OverloadWindow right after an outage
	kind         outageKind
	errorShare   float64 // share of the calls that fail in an outage of the kind answersErrors
	outage       time.Duration
	secondOutage time.Duration // time from the return to a second outage; 0 for none
	killShare    float64       // share of the relays that are killed once in the outage
	rampKills    bool          // whether as many relays are killed in the slow start
	joins        bool          // whether another endpoint is listed during the outage
	gossipLoss   float64
	spread       float64 // sigma of the lognormal distribution of the traffic over the relays
	load         float64 // arrivals as a share of the capacity
	limited      bool    // whether the destination limits the rate of calls to its capacity
	weights      policy.Weights
	weightError  float64 // listed rate as a multiple of the actual one
	settings     policy.Settings
	// The following are not part of drawColdCase.
	out        int           // number of endpoints that the outages take; 0 for all
	quiet      float64       // arrivals in the first outage, as a share of those before it; 0 for as many
	crowd      float64       // arrivals from crowdLead before the first return on, as a share of the capacity; 0 for no crowd
	crowdLead  time.Duration // time from the start of the crowd to the return
	retryAfter time.Duration // Retry-After of the rejections in an outage; 0 for none
	replaces   bool          // whether the endpoints are replaced one after another during the outage
}

func (c *coldCase) String() string {
	return fmt.Sprintf("seed %d: %d relays, %d endpoints, budget %.1f, %s for %v (errors %.2f), second outage "+
		"after %v, kills %.2f (in slow start too: %v), another endpoint: %v, listed rate times %.2f, out %d, quiet %.2f, "+
		"crowd %.1f for %v, limited: %v, Retry-After %v, replaced: %v",
		c.seed, c.relays, c.endpoints, c.budget, outageKindNames[c.kind], c.outage, c.errorShare,
		c.secondOutage, c.killShare, c.rampKills, c.joins, c.weightError, c.out, c.quiet, c.crowd, c.crowdLead, c.limited,
		c.retryAfter, c.replaces)
}

// drawColdCase draws a case from a seed.
func drawColdCase(seed int64) *coldCase {
	random := rand.New(rand.NewSource(seed))
	between := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	chance := func(probability float64) bool { return random.Float64() < probability }
	c := &coldCase{
		seed:       seed,
		relays:     2 + random.Intn(59),
		endpoints:  1 + random.Intn(3),
		budget:     2 * math.Pow(30, random.Float64()), // 2 to 60
		kind:       outageKind(random.Intn(int(outageKinds))),
		errorShare: between(0.5, 1),
		outage:     time.Duration(between(5, 12.5) * float64(time.Second)),
		spread:     between(0, 1),
		load:       between(0.6, 0.95),
		limited:    chance(0.5),
		joins:      chance(0.3),
		rampKills:  chance(0.3),
		weights:    policy.WeightsNominal,
	}
	c.weightError = 1
	if chance(0.5) {
		c.weights, c.weightError = policy.WeightsRough, between(0.67, 1.5)
	}
	if chance(0.3) {
		c.secondOutage = time.Duration(between(1, 8) * float64(time.Second))
	}
	if chance(0.6) {
		c.killShare = random.Float64()
	}
	if chance(0.3) {
		c.gossipLoss = between(0, 0.5)
	}
	c.settings = policy.Settings{
		FleetSize: c.relays, Kinds: []policy.Kind{{MaxBatch: 1}},
		Classes: []policy.Class{{LatencyObjective: 2 * time.Second, Deadline: coldDeadline, PriorityWeight: 1,
			LateValueShare: 0.3, Effect: policy.Idempotent}},
		Slots: 24, QueueCapacity: 300, MaxAttempts: 8, Gossip: chance(0.8), CanCancel: true, Weights: c.weights,
		BatchInterval: coldStep, MaxRetryAfter: 3 * time.Second,
		SlowStartInitialShare: between(0.29, 0.42),
		SlowStartWindow:       time.Duration(between(9, 12) * float64(time.Second)),
		OverloadFactor:        between(1.5, 2.5), OverloadWindow: 3 * time.Second, IdleConnTimeout: 10 * time.Second,
	}
	return c
}

// drawCrowdedColdCase draws a case from a seed with what drawColdCase leaves out: crowds, fewer calls for more relays,
// outages of a part of the endpoints or of up to a minute, rejections with Retry-After, and endpoints that are replaced
// in the outage.
func drawCrowdedColdCase(seed int64) *coldCase {
	c := drawColdCase(seed)
	random := rand.New(rand.NewSource(-seed - 1))
	between := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	chance := func(probability float64) bool { return random.Float64() < probability }
	c.endpoints = 1 + random.Intn(4)
	if chance(0.5) {
		c.budget = 0.5 * math.Pow(20, random.Float64()) // 0.5 to 10
		c.relays = 25 + random.Intn(36)
		c.settings.FleetSize = c.relays
	}
	c.quiet = 1
	if chance(0.4) {
		c.quiet = between(0.02, 0.5)
	}
	if chance(0.7) {
		c.crowd = between(1, 3)
		c.crowdLead = time.Duration(between(0, 8) * float64(time.Second))
	}
	if chance(0.3) {
		c.outage = time.Duration(between(12, 60) * float64(time.Second))
	}
	if c.endpoints > 1 && chance(0.3) {
		c.out = 1 + random.Intn(c.endpoints)
	}
	if chance(0.5) {
		c.retryAfter = time.Duration(between(0.2, 3) * float64(time.Second))
	}
	c.replaces = chance(0.3)
	return c
}

// capacity returns the calls a second that one endpoint takes when it is not cold.
func (c *coldCase) capacity() float64 {
	return c.budget / (c.settings.OverloadFactor * c.settings.SlowStartInitialShare *
		c.settings.OverloadWindow.Seconds())
}

// coldEndpoint is one simulated endpoint. After an outage it is cold for SlowStartWindow.
type coldEndpoint struct {
	id         string
	draining   bool
	inOutages  bool // whether the outages take it
	out        bool
	fallen     bool          // whether too many calls while cold have made it fail for good
	returnedAt time.Duration // end of the last outage; 0 for none
	notified   map[int]bool  // relays at which a call failed in the last outage
	recent     []coldCall    // calls of the last OverloadWindow since the return
}

// coldCall is a call that a cold endpoint got.
type coldCall struct {
	at    time.Duration
	relay int
	limit policy.CallLimit
}

// coldMessage is a message at one relay.
type coldMessage struct {
	id       string
	expires  time.Duration
	handIns  int
	attempts []policy.PriorAttempt
	open     *coldAttempt // attempt in flight, or nil
}

// coldAttempt is an attempt in flight.
type coldAttempt struct {
	message *coldMessage
	ep      *coldEndpoint
	number  int
	call    int
	// retryAfter is the Retry-After of the response, or 0.
	retryAfter time.Duration
}

// coldRelay is one relay with what lasts longer than its processes.
type coldRelay struct {
	number     int
	rate       float64 // messages a second that arrive here
	dispatcher *policy.Dispatcher
	process    int // number of its present process; results for earlier ones are dropped
	running    bool
	inbox      []policy.Event
	timerAt    time.Duration // 0 for none
	messages   map[string]*coldMessage
	health     map[string]policy.PersistHealth
	list       []policy.Endpoint // endpoint list as it was received last
}

// coldFleet runs one case.
type coldFleet struct {
	*coldCase
	t         *testing.T
	random    *rand.Rand
	now       time.Duration
	due       map[int][]func() // what happens at a step, by its number
	relayList []*coldRelay
	endpoints []*coldEndpoint
	tokens    float64 // calls that the limit of the destination allows now
	messages  int
	processes int64
	delivered int
	// notified has the relays at which a call failed at any endpoint in the last outage.
	notified map[int]bool
	recent   []coldCall // calls of the last OverloadWindow at endpoints that are back from the last outage
	// wholeFalls is whether the destination falls as a whole, rather than an endpoint.
	wholeFalls bool
	broken     [coldReadings]string // first violation of the rule, by reading
}

func newColdFleet(t *testing.T, c *coldCase, wholeFalls bool) *coldFleet {
	t.Helper()
	f := &coldFleet{coldCase: c, t: t, random: rand.New(rand.NewSource(c.seed + 1)), due: map[int][]func(){},
		notified: map[int]bool{}, wholeFalls: wholeFalls}
	for i := range c.endpoints {
		f.endpoints = append(f.endpoints, &coldEndpoint{id: fmt.Sprint("e", i), notified: map[int]bool{},
			inOutages: c.out == 0 || i < c.out})
	}
	total := 0.0
	for i := range c.relays {
		r := &coldRelay{number: i, rate: math.Exp(c.spread * f.random.NormFloat64()),
			messages: map[string]*coldMessage{}, health: map[string]policy.PersistHealth{}}
		total += r.rate
		f.relayList = append(f.relayList, r)
		r.list = f.listed()
		f.start(r)
	}
	for _, r := range f.relayList {
		r.rate *= c.load * c.capacity() * float64(c.endpoints) / total
	}
	return f
}

// at schedules something.
func (f *coldFleet) at(when time.Duration, do func()) {
	step := max(int((when+coldStep-1)/coldStep), int(f.now/coldStep)+1)
	f.due[step] = append(f.due[step], do)
}

// listed returns the entries of the endpoint list.
func (f *coldFleet) listed() (list []policy.Endpoint) {
	weight := f.capacity() * float64(f.coldCase.endpoints) * f.weightError
	for _, ep := range f.endpoints {
		list = append(list, policy.Endpoint{ID: ep.id, Weight: weight, Draining: ep.draining})
	}
	return list
}

// start starts a process of a relay, with the endpoint list, the messages and the health that the last one recorded. It
// gets the present list later.
func (f *coldFleet) start(r *coldRelay) {
	f.processes++
	dispatcher, err := policy.New(f.settings, f.seed*1000+f.processes)
	if err != nil {
		f.t.Fatal(err)
	}
	r.dispatcher, r.running, r.timerAt = dispatcher, true, 0
	r.inbox = []policy.Event{policy.EndpointsUpdated{Complete: true, Endpoints: r.list}}
	f.sendList(r)
	for _, ep := range f.endpoints {
		if health, recorded := r.health[ep.id]; recorded {
			r.inbox = append(r.inbox, policy.StateRestored(health))
		}
	}
	ids := []string{}
	for id := range r.messages {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) })
	for _, id := range ids {
		m := r.messages[id]
		if m.open != nil {
			m.attempts[m.open.number].Interrupted = true
		}
		m.open = nil
		r.inbox = append(r.inbox, policy.Arrived{ID: id, TimeLeft: m.expires - f.now, Resumed: true,
			PriorAttempts: slices.Clone(m.attempts)})
	}
}

// kill ends the process of a relay, as SIGKILL does, and starts another one later.
func (f *coldFleet) kill(r *coldRelay) {
	if !r.running {
		return
	}
	for _, m := range r.messages {
		if m.open != nil && m.open.ep.out {
			f.notify(r, m.open.ep)
		}
	}
	r.running = false
	r.process++
	f.at(f.now+coldRestartDelay, func() { f.start(r) })
}

// run plays the case and returns the first violation in each reading of the rule, or "".
func (f *coldFleet) run() [coldReadings]string {
	firstReturn := coldWarmUp + f.outage
	end := firstReturn + f.settings.SlowStartWindow + f.secondOutage
	f.at(coldWarmUp, f.beginOutage)
	f.at(firstReturn, f.endOutage)
	if f.secondOutage > 0 {
		f.at(firstReturn+f.secondOutage, f.beginOutage)
		f.at(firstReturn+f.secondOutage+4*time.Second, f.endOutage)
		end += 4 * time.Second
	}
	if f.joins {
		f.at(coldWarmUp+f.outage/2, f.addEndpoint)
	}
	if f.replaces {
		for i, ep := range f.endpoints {
			at := coldWarmUp + f.outage*time.Duration(i+1)/time.Duration(len(f.endpoints)+1)
			f.at(at, func() { f.replace(ep) })
		}
	}
	f.scheduleKills(coldWarmUp, f.outage)
	if f.rampKills {
		f.scheduleKills(firstReturn, f.settings.SlowStartWindow)
	}
	for f.now = 0; f.now < end; f.now += coldStep {
		f.tokens = math.Min(math.Max(1, f.capacity()/4),
			f.tokens+f.capacity()*float64(f.coldCase.endpoints)*coldStep.Seconds())
		step := int(f.now / coldStep)
		for i := 0; i < len(f.due[step]); i++ {
			f.due[step][i]()
		}
		delete(f.due, step)
		for _, r := range f.relayList {
			f.arrive(r)
			f.handle(r)
		}
	}
	return f.broken
}

// scheduleKills kills a share of the relays once each, at random times of a span.
func (f *coldFleet) scheduleKills(from, span time.Duration) {
	for _, r := range f.relayList {
		if f.random.Float64() < f.killShare {
			f.at(from+time.Duration(f.random.Float64()*float64(span)), func() { f.kill(r) })
		}
	}
}

func (f *coldFleet) beginOutage() {
	for _, ep := range f.endpoints {
		if ep.inOutages {
			ep.out, ep.notified, ep.recent = true, map[int]bool{}, nil
		}
	}
	f.notified, f.recent = map[int]bool{}, nil
}

func (f *coldFleet) endOutage() {
	for _, ep := range f.endpoints {
		if ep.inOutages {
			ep.out, ep.returnedAt, ep.recent = false, f.now, nil
		}
	}
}

// addEndpoint lists another endpoint, which shares the outage of the destination.
func (f *coldFleet) addEndpoint() {
	f.endpoints = append(f.endpoints,
		&coldEndpoint{id: fmt.Sprint("e", len(f.endpoints)), out: true, inOutages: true, notified: map[int]bool{}})
	for _, r := range f.relayList {
		f.sendList(r)
	}
}

// replace lets an endpoint drain, and lists another one in its place that shares the outage.
func (f *coldFleet) replace(ep *coldEndpoint) {
	ep.draining = true
	f.addEndpoint()
	f.endpoints[len(f.endpoints)-1].inOutages = ep.inOutages
	f.endpoints[len(f.endpoints)-1].out = ep.out
}

// sendList sends the present endpoint list to a relay, which gets it within a second if it is running then.
func (f *coldFleet) sendList(r *coldRelay) {
	process := r.process
	f.at(f.now+time.Duration(f.random.Float64()*float64(time.Second)), func() {
		if r.running && r.process == process {
			r.list = f.listed()
			r.inbox = append(r.inbox, policy.EndpointsUpdated{Endpoints: r.list})
		}
	})
}

// arrivalShare returns the present arrivals as a share of the ordinary ones.
func (f *coldFleet) arrivalShare() float64 {
	firstReturn := coldWarmUp + f.outage
	switch {
	case f.crowd > 0 && f.now >= firstReturn-f.crowdLead:
		return f.crowd / f.load
	case f.quiet > 0 && f.now >= coldWarmUp && f.now < firstReturn:
		return f.quiet
	}
	return 1
}

// arrive lets messages arrive at a relay. One that is not running loses them, as a front that has noticed does.
func (f *coldFleet) arrive(r *coldRelay) {
	if f.random.Float64() < f.arrivalShare()*r.rate*coldStep.Seconds() {
		f.messages++
		f.handIn(r, &coldMessage{id: fmt.Sprint("m", f.messages), expires: f.now + coldDeadline})
	}
}

func (f *coldFleet) handIn(r *coldRelay, m *coldMessage) {
	if !r.running || m.expires <= f.now {
		return
	}
	r.messages[m.id] = m
	r.inbox = append(r.inbox, policy.Arrived{ID: m.id, TimeLeft: m.expires - f.now, Size: 200})
}

// handle lets a relay process its batch, if it has one.
func (f *coldFleet) handle(r *coldRelay) {
	timer := r.timerAt > 0 && f.now >= r.timerAt
	if !r.running || len(r.inbox) == 0 && !timer {
		return
	}
	events := r.inbox
	r.inbox = nil
	if timer {
		r.timerAt = 0
		events = append(events, policy.TimerFired{})
	}
	for _, action := range r.dispatcher.Handle(instant.Time(f.now), events) {
		f.execute(r, action)
	}
}

// execute carries out an action of a relay.
func (f *coldFleet) execute(r *coldRelay, action policy.Action) {
	switch action := action.(type) {
	case policy.Send:
		f.send(r, action)
	case policy.Cancel:
		if m := r.messages[action.ID]; m != nil && m.open != nil && m.open.number == action.Attempt {
			f.end(r, m.open, policy.Canceled, 0)
		}
	case policy.SetTimer:
		r.timerAt = f.now + action.After
	case policy.PersistHealth:
		r.health[action.Endpoint] = action
	case policy.PersistSuspicion:
		r.health[action.Endpoint] = policy.PersistHealth{Endpoint: action.Endpoint, Ejected: action.Suspected,
			At: action.At}
	case policy.Broadcast:
		for _, other := range f.relayList {
			if other != r && f.random.Float64() >= f.gossipLoss {
				f.at(f.now+time.Duration(1+f.random.Intn(17))*time.Millisecond, func() {
					if other.running {
						other.inbox = append(other.inbox, policy.GossipReceived(action))
					}
				})
			}
		}
	case policy.Reject:
		m := r.messages[action.ID]
		delete(r.messages, action.ID)
		if m.handIns++; m.handIns < coldMaxHandIns && f.random.Float64() < coldReturnShare {
			other := f.relayList[f.random.Intn(len(f.relayList))]
			again := &coldMessage{id: fmt.Sprint(m.id, "-", m.handIns), expires: m.expires, handIns: m.handIns}
			f.at(f.now+max(coldReturnDelay, action.RetryAfter), func() { f.handIn(other, again) })
		}
	case policy.Fail:
		delete(r.messages, action.ID)
	}
}

// send starts an attempt: the endpoint gets the call now, and its result is scheduled.
func (f *coldFleet) send(r *coldRelay, send policy.Send) {
	m := r.messages[send.ID]
	ep := f.endpoints[slices.IndexFunc(f.endpoints, func(ep *coldEndpoint) bool { return ep.id == send.Endpoint })]
	attempt := &coldAttempt{message: m, ep: ep, number: len(m.attempts), call: send.Call}
	m.open = attempt
	m.attempts = append(m.attempts, policy.PriorAttempt{Endpoint: ep.id, SentAt: instant.Time(f.now)})
	outcome, latency := f.serve(r, ep, send)
	if outcome == policy.Rejected && ep.out {
		attempt.retryAfter = f.retryAfter
	}
	if timeout := cmp.Or(send.Timeout, m.expires-f.now); latency > timeout {
		outcome, latency = policy.TimedOut, timeout
	}
	process := r.process
	f.at(f.now+latency, func() {
		if r.process == process && m.open == attempt {
			f.end(r, attempt, outcome, latency)
		}
	})
}

// serve lets an endpoint take a call and returns the outcome, and the time that it takes.
func (f *coldFleet) serve(r *coldRelay, ep *coldEndpoint, send policy.Send) (policy.Outcome, time.Duration) {
	latency := time.Duration((50 + 150*f.random.Float64()) * float64(time.Millisecond))
	switch {
	case ep.fallen || ep.out && f.kind == refusesConnections:
		return policy.ConnectError, time.Millisecond
	case ep.out && f.kind == neverAnswers:
		return policy.TimedOut, time.Hour
	case ep.out && f.kind == rejectsCalls:
		return policy.Rejected, latency / 4
	case ep.out && f.random.Float64() < f.errorShare:
		return policy.Failed, latency
	}
	f.countCold(r, ep, send)
	f.tokens--
	if f.limited && f.tokens < 0 {
		f.tokens = 0
		return policy.Rejected, latency / 4
	}
	return policy.OK, latency
}

// end ends an attempt.
func (f *coldFleet) end(r *coldRelay, a *coldAttempt, outcome policy.Outcome, latency time.Duration) {
	a.message.open = nil
	a.message.attempts[a.number].NotExecuted = outcome.ProvesNotExecuted()
	if outcome != policy.OK && a.ep.out {
		f.notify(r, a.ep)
	}
	if outcome == policy.OK {
		f.delivered++
		delete(r.messages, a.message.id)
	}
	r.inbox = append(r.inbox, policy.AttemptEnded{ID: a.message.id, Endpoint: a.ep.id, Attempt: a.number,
		Outcome: outcome, Latency: latency, RetryAfter: a.retryAfter, Completed: outcome == policy.OK})
}
