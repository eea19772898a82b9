package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// canaryFleet simulates a fleet of relays in virtual time. Its destination has two old endpoints, to which
// tests add new ones. Broadcasts reach all other relays, except those for which losesGossip returns true.
type canaryFleet struct {
	*testing.T
	relays      []*Dispatcher
	now         time.Duration
	arrivals    int                                // messages that have arrived
	pending     [][]pendingOutcome                 // outcomes and gossip messages to deliver, by relay
	sent        map[string]int                     // calls by endpoint
	outcome     func(ep string, class int) Outcome // outcome of a call
	latency     func(ep string) time.Duration      // latency of a call
	losesGossip func() bool                        // whether a gossip message is lost
	suspended   map[string]int                     // suspensions by endpoint, over all relays
	rng         *rand.Rand
}

// newCanaryFleet returns a fleet in which all calls succeed after 30 ms and no gossip message is lost.
func newCanaryFleet(t *testing.T, relays int) *canaryFleet {
	t.Helper()
	p := &canaryFleet{T: t, sent: map[string]int{}, suspended: map[string]int{},
		rng: rand.New(rand.NewPCG(2, 2)), now: time.Second,
		outcome:     func(string, int) Outcome { return OK },
		latency:     func(string) time.Duration { return 30 * ms },
		losesGossip: func() bool { return false }}
	for seed := range relays {
		s := basicSettings()
		s.CanaryAnalysis, s.Gossip, s.FleetSize, s.Slots, s.QueueCapacity = true, true, relays, 20, 1000
		d, err := New(s, int64(seed))
		if err != nil {
			t.Fatal(err)
		}
		d.Handle(0, []Event{EndpointsUpdated{Complete: true,
			Endpoints: []Endpoint{{ID: "old-a"}, {ID: "old-b"}}}})
		p.relays, p.pending = append(p.relays, d), append(p.pending, nil)
	}
	return p
}

// list updates the endpoint list of all relays.
func (p *canaryFleet) list(eps ...Endpoint) {
	for relay := range p.relays {
		p.handle(relay, EndpointsUpdated{Endpoints: eps})
	}
}

// handle passes events to a relay and schedules the effects of its actions.
func (p *canaryFleet) handle(relay int, events ...Event) {
	for _, a := range p.relays[relay].Handle(moment(p.now), events) {
		switch a := a.(type) {
		case Send:
			p.sent[a.Endpoint]++
			m := p.relays[relay].messages.byID[a.ID]
			took := p.latency(a.Endpoint)
			p.pending[relay] = append(p.pending[relay],
				pendingOutcome{p.now + took, AttemptEnded{ID: a.ID, Endpoint: a.Endpoint,
					Attempt: len(m.attempts) - 1, Outcome: p.outcome(a.Endpoint, m.Class), Latency: took}})
		case Broadcast:
			for other := range p.relays {
				if other != relay && !p.losesGossip() {
					p.pending[other] = append(p.pending[other],
						pendingOutcome{p.now + 5*ms, AttemptEnded{ID: "", Endpoint: string(a.Message)}})
				}
			}
		case CanaryStageChanged:
			if a.SuspendedUntil > moment(p.now) {
				p.suspended[a.Endpoint]++
			}
		}
	}
}

// run simulates until the given time. Each relay receives rate messages a second, every fifth of them of
// class 1 and the others of class 0.
func (p *canaryFleet) run(until time.Duration, rate float64) {
	for ; p.now < until; p.now += 10 * ms {
		for relay := range p.relays {
			var events []Event
			remainder := p.pending[relay][:0:0]
			for _, x := range p.pending[relay] {
				switch {
				case x.at > p.now:
					remainder = append(remainder, x)
				case x.ended.ID == "":
					events = append(events, GossipReceived{Message: []byte(x.ended.Endpoint)})
				default:
					events = append(events, x.ended)
				}
			}
			p.pending[relay] = remainder
			if p.rng.Float64() < rate*0.01 {
				p.arrivals++
				class := 0
				if p.arrivals%5 == 0 {
					class = 1
				}
				events = append(events,
					Arrived{ID: fmt.Sprint(p.arrivals), Class: class, TimeLeft: 5 * time.Second})
			}
			p.handle(relay, append(events, TimerFired{})...)
		}
	}
}

// canaryShare runs until the given time and returns the share of the calls in that time that went to the
// endpoint "new".
func (p *canaryFleet) canaryShare(until time.Duration, rate float64) float64 {
	clear(p.sent)
	p.run(until, rate)
	all := 0
	for _, n := range p.sent {
		all += n
	}
	return float64(p.sent["new"]) / float64(max(1, all))
}

// canaryCase describes the behaviour of the endpoints in one test case, and the expected result for the
// endpoint "new".
type canaryCase struct {
	name        string
	outcome     func(ep string, class int) Outcome // outcome of a call; nil if all calls succeed
	slow        bool                               // "new" answers in 400 ms rather than 30 ms
	gossipLoss  float64                            // share of the gossip messages that are lost
	suspended   bool                               // whether the relays should suspend "new"
	maxShare    float64                            // largest allowed share of the calls in the first 14 s
	minPromoted int                                // fewest relays that complete the trial within 30 s
}

// fleet returns 20 relays whose endpoints behave as the case describes.
func (c *canaryCase) fleet(t *testing.T) *canaryFleet {
	t.Helper()
	p := newCanaryFleet(t, 20)
	p.losesGossip = func() bool { return p.rng.Float64() < c.gossipLoss }
	if c.outcome != nil {
		p.outcome = func(ep string, class int) Outcome {
			if c.name == "good, but calls to all endpoints fail at times" && p.rng.Float64() > 0.2 {
				return OK
			}
			return c.outcome(ep, class)
		}
	}
	if c.slow {
		p.latency = func(ep string) time.Duration {
			if ep == "new" {
				return 400 * ms
			}
			return 30 * ms
		}
	}
	return p
}

// check runs the case and checks how many calls "new" receives and how many relays suspend or promote it.
func (c *canaryCase) check(t *testing.T) {
	t.Helper()
	p := c.fleet(t)
	p.run(10*time.Second, 2)
	p.list(Endpoint{ID: "new", StartedAt: moment(p.now)})
	share := p.canaryShare(24*time.Second, 2)
	if share > c.maxShare {
		t.Errorf("the canary got a share of %.3f of the calls, want at most %.3f", share, c.maxShare)
	}
	if suspended := p.suspended["new"]; c.suspended && suspended < 15 || !c.suspended && suspended > 0 {
		t.Errorf("got %d suspensions by 20 relays, want at least 15 if the canary is worse, else 0",
			suspended)
	}
	if c.suspended {
		return
	}
	p.run(40*time.Second, 2)
	promoted := 0
	for _, d := range p.relays {
		if d.endpoints["new"].canary == nil {
			promoted++
		}
	}
	if promoted < c.minPromoted {
		t.Errorf("%d of 20 relays completed the trial of the canary within 30 s, want at least %d", promoted,
			c.minPromoted)
	}
}

// newFails returns a function that gives calls to the endpoint "new" the given outcome, for one class or for
// all (-1). Calls to other endpoints succeed.
func newFails(outcome Outcome, onlyClass int) func(string, int) Outcome {
	return func(ep string, class int) Outcome {
		if ep == "new" && (onlyClass < 0 || class == onlyClass) {
			return outcome
		}
		return OK
	}
}

// Guards against a bad version that keeps receiving calls, and against a good one that is never promoted.
// Nearly all relays have to suspend an endpoint that fails or is slow, after few calls.
func TestCanaryPromotionAndSuspension(t *testing.T) {
	const allClasses = -1
	allFail := func(string, int) Outcome { return Failed }
	for _, c := range []canaryCase{
		{name: "good", maxShare: 1, minPromoted: 20},
		{name: "good, half of the gossip messages lost", maxShare: 1, gossipLoss: 0.5, minPromoted: 20},
		{name: "good, but calls to all endpoints fail at times", outcome: allFail, maxShare: 1,
			minPromoted: 1},
		{name: "bad", outcome: newFails(Failed, allClasses), suspended: true, maxShare: 0.03},
		{name: "bad, half of the gossip messages lost", outcome: newFails(Reset, allClasses), gossipLoss: 0.5,
			suspended: true, maxShare: 0.04},
		{name: "bad for one class only", outcome: newFails(Failed, 1), suspended: true, maxShare: 0.15},
		{name: "slow", slow: true, suspended: true, maxShare: 0.03},
	} {
		t.Run(c.name, c.check)
	}
}

// Guards against a canary that is limited to its share when there is no healthy older endpoint to take the
// other calls, and against a canary trial for an endpoint that started long ago or with canary analysis off.
func TestCanariesWithoutBaseline(t *testing.T) {
	for name, change := range map[string]func(*canaryFleet) []Endpoint{
		"the older endpoints are removed": func(p *canaryFleet) []Endpoint {
			return []Endpoint{{ID: "old-a", Removed: true}, {ID: "old-b", Removed: true},
				{ID: "new", StartedAt: moment(p.now)}}
		},
		"the older endpoints drain": func(p *canaryFleet) []Endpoint {
			return []Endpoint{{ID: "old-a", Draining: true}, {ID: "old-b", Draining: true},
				{ID: "new", StartedAt: moment(p.now)}}
		},
		"the older endpoints are ejected": func(p *canaryFleet) []Endpoint {
			for _, d := range p.relays {
				for _, ep := range d.endpoints {
					d.eject(ep)
				}
			}
			p.outcome = func(ep string, _ int) Outcome {
				return map[bool]Outcome{true: ConnectError}[ep != "new"]
			}
			return []Endpoint{{ID: "new", StartedAt: moment(p.now)}}
		},
		"started long ago": func(p *canaryFleet) []Endpoint {
			return []Endpoint{{ID: "new", StartedAt: moment(p.now - 2*canaryMaxAge)}}
		},
		"off": func(p *canaryFleet) []Endpoint {
			for _, d := range p.relays {
				d.settings.CanaryAnalysis = false
			}
			return []Endpoint{{ID: "new", StartedAt: moment(p.now)}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newCanaryFleet(t, 5)
			p.now = 5 * time.Minute
			p.run(5*time.Minute+5*time.Second, 2)
			p.list(change(p)...)
			if ep := p.relays[0].endpoints["new"]; name == "started long ago" || name == "off" {
				if ep.canary != nil {
					t.Error("the endpoint is a canary, want an ordinary endpoint")
				}
				return // at low load calls concentrate on few endpoints, so the share says nothing
			}
			if share := p.canaryShare(p.now+5*time.Second, 2); share < 0.25 {
				t.Errorf("a canary without a baseline got a share of %.2f of the calls, want at least 0.25",
					share)
			}
		})
	}
}

// Guards against suspensions that do not end or do not start again at the first stage, duplicate reports that
// count more than once, malformed reports, and reports from a relay that sees all its calls fail, which may
// be its own fault.
func TestCanaryReports(t *testing.T) {
	p := newCanaryFleet(t, 1)
	p.run(3*time.Second, 5)
	p.list(Endpoint{ID: "new", StartedAt: moment(p.now)})
	d := p.relays[0]
	ep := d.endpoints["new"]
	report := canaryMessage{"new", 0, true, 7}.encode()
	for range 10 {
		p.handle(0, GossipReceived{Message: report})
	}
	if ep.canary.suspendedUntil > 0 || ep.canary.outcomes != 1 {
		t.Errorf("ten copies of one report counted as %d outcomes, want 1 and no suspension",
			ep.canary.outcomes)
	}
	for _, message := range [][]byte{report[:1], report[:2], {}, canaryMessage{"none", 0, true, 1}.encode(),
		canaryMessage{"new", 99, true, 1}.encode(), canaryMessage{"old-a", 0, true, 1}.encode()} {
		p.handle(0, GossipReceived{Message: message})
	}
	if ep.canary.outcomes != 1 {
		t.Errorf("malformed reports or reports on other endpoints counted: %d outcomes, want 1",
			ep.canary.outcomes)
	}
	for id := range uint64(3) {
		p.handle(0, GossipReceived{Message: canaryMessage{"new", 0, true, id}.encode()})
	}
	if suspended := ep.canary.suspendedUntil.Sub(moment(p.now)); suspended != initialSuspension ||
		ep.canary.stage != 0 {
		t.Errorf("suspended for %v, want initialSuspension and stage 0", suspended)
	}
	if share := p.canaryShare(time.Duration(ep.canary.suspendedUntil.Add(-50*ms)), 5); share > 0 {
		t.Errorf("a suspended canary got a share of %.3f of the calls, want 0", share)
	}
	if share := p.canaryShare(p.now+time.Second, 5); share > 0.25 || ep.canaryWithheld(d.now) &&
		ep.canary.credit >= 1 {
		t.Errorf("right after its suspension the canary got a share of %.3f of the calls, want at most "+
			"0.25, and a call whenever it has credit for one",
			share)
	}

	failing := newCanaryFleet(t, 2)
	failing.outcome = func(string, int) Outcome { return Failed }
	failing.run(6*time.Second, 5)
	failing.list(Endpoint{ID: "new", StartedAt: moment(failing.now)})
	broadcasts := 0
	for range 50 {
		failing.now += 50 * ms
		d := failing.relays[0]
		d.analyzeOutcome(d.endpoints["new"], &message{Arrived: Arrived{Class: 0}},
			AttemptEnded{Outcome: Failed}, false)
		for _, a := range d.actions {
			if broadcast, ok := a.(Broadcast); ok {
				if _, isReport := decodeCanaryMessage(broadcast.Message); isReport {
					broadcasts++
				}
			}
		}
	}
	if broadcasts > 0 {
		t.Errorf("a relay whose calls all fail broadcast %d failures of a canary, want none", broadcasts)
	}
}
