package policy_test

import (
	"fmt"
	"math/rand"
	"time"

	"milletsail/internal/instant"
	"milletsail/policy"
)

// randomSettings draws settings.
func randomSettings(r *rand.Rand) policy.Settings {
	s := policy.Settings{
		FleetSize: []int{1, 2, 3, 4, 40, 400}[r.Intn(6)], Slots: 1 + r.Intn(12),
		QueueCapacity: 20 + r.Intn(80), MaxAttempts: 2 + r.Intn(10),
		HedgedRequests: r.Intn(2) == 0, CanCancel: r.Intn(4) > 0, Subscribe: r.Intn(2) == 0,
		Weights: policy.Weights(r.Intn(3)), BatchInterval: 5 * time.Millisecond,
		MaxRetryAfter: 3 * time.Second, SlowStartInitialShare: 0.14 + 0.2*r.Float64(),
		SlowStartWindow: 9 * time.Second,
		OverloadFactor:  2 + r.Float64(), OverloadWindow: 2 * time.Second, ZoneCost: []float64{0.06, 0},
		OrderedKeyDelay: time.Duration(r.Intn(3)) * 200 * time.Millisecond,
		Kinds: []policy.Kind{{MaxBatch: 1}, {MaxBatch: 5},
			{MaxBatch: 1 + r.Intn(8), SeparateRoutes: true}},
	}
	for i := range 4 {
		s.Classes = append(s.Classes,
			policy.Class{LatencyObjective: time.Second, Deadline: time.Duration(3+r.Intn(15)) * time.Second,
				PriorityWeight: 1 + float64(r.Intn(4)), LateValueShare: 0.5, Effect: policy.Effect(i % 3),
				KeysPerZone:       r.Intn(2) == 0,
				IdempotencyWindow: 4 * time.Second, Ordered: i == 2 || i == 3 && r.Intn(2) == 0})
	}
	return s
}

// eventGenerator draws valid events for one dispatcher. It does not simulate servers: outcomes are random.
type eventGenerator struct {
	random             *rand.Rand
	settings           policy.Settings
	checker            *ruleChecker
	now                time.Duration
	lastNumber         int // last number used in the ID of an endpoint or message
	timers             []time.Duration
	endpoints          []policy.Endpoint
	prevailingOutcomes []policy.Outcome          // most frequent outcome at present, by destination
	callOutcomes       map[string]policy.Outcome // drawn outcomes, by endpoint and send time of the call
	trafficPaused      bool                      // whether arrivals are stopped, see pauseTraffic
}

func (g *eventGenerator) endpointsUpdate() policy.EndpointsUpdated {
	complete := g.random.Intn(3) == 0 || len(g.endpoints) == 0
	if len(g.endpoints) == 0 || g.random.Intn(3) == 0 {
		dest := g.random.Intn(4)
		g.endpoints = append(g.endpoints, policy.Endpoint{ID: fmt.Sprint("e", g.lastNumber),
			Destination: dest, Kind: dest % 3, Zone: g.random.Intn(2), Weight: 2 + float64(dest)*3})
		g.lastNumber++
	}
	var listed []policy.Endpoint
	for i := range g.endpoints {
		if g.random.Intn(12) == 0 {
			g.endpoints[i].Draining = true
		}
		if g.random.Intn(15) == 0 && len(g.endpoints) > 4 {
			g.endpoints[i].Removed = true
		}
		if !complete || !g.endpoints[i].Removed {
			listed = append(listed, g.endpoints[i])
		}
	}
	remaining := g.endpoints[:0]
	for _, e := range g.endpoints {
		if !e.Removed {
			remaining = append(remaining, e)
		}
	}
	g.endpoints = remaining
	return policy.EndpointsUpdated{Complete: complete, Endpoints: listed}
}

// nextBatch moves the clock by 5 to 300 ms, or less to reach a timer, a deadline or a timeout exactly, and
// returns the events of that time.
func (g *eventGenerator) nextBatch() []policy.Event {
	at := g.now + time.Duration(1+g.random.Intn(60))*5*time.Millisecond
	for _, t := range g.timers {
		at = min(at, t)
	}
	for _, m := range g.checker.order {
		if !m.completed && m.expires > g.now {
			at = min(at, m.expires)
		}
		for _, t := range m.attempts {
			if t.open && t.timeout > 0 && t.sent+t.timeout > g.now {
				at = min(at, t.sent+t.timeout)
			}
		}
	}
	g.now = max(at, g.now+5*time.Millisecond)
	var events []policy.Event
	remaining := g.timers[:0]
	for _, t := range g.timers {
		if t <= g.now {
			events = append(events, policy.TimerFired{})
		} else {
			remaining = append(remaining, t)
		}
	}
	g.timers = remaining
	events = append(events, g.outcomes()...)
	if g.random.Intn(12) == 0 {
		events = append(events, g.endpointsUpdate())
	}
	if g.random.Intn(40) == 0 {
		events = append(events, policy.WatchFailed{})
	}
	for range g.random.Intn(4) {
		if g.trafficPaused {
			break
		}
		g.lastNumber++
		class := g.random.Intn(len(g.settings.Classes))
		e := policy.Arrived{ID: fmt.Sprint("m", g.lastNumber), Class: class, Destination: g.random.Intn(5),
			TimeLeft: g.settings.Classes[class].Deadline -
				time.Duration(g.random.Intn(2000))*time.Millisecond}
		if g.settings.Classes[class].Ordered && g.random.Intn(5) > 0 {
			e.Key = fmt.Sprint("k", g.random.Intn(3))
		}
		events = append(events, e)
	}
	return events
}

// outcomes returns the ends of attempts, those that time out and random others, and random withdrawals. It
// also changes prevailingOutcomes at random.
func (g *eventGenerator) outcomes() []policy.Event {
	var events []policy.Event
	for d := range g.prevailingOutcomes {
		if g.random.Intn(80) == 0 {
			g.prevailingOutcomes[d] = policy.Outcome(g.random.Intn(8))
		}
	}
	for _, m := range g.checker.order {
		for i, t := range m.attempts {
			if !t.open {
				continue
			}
			outcome, ended := g.outcome(m, t)
			if !ended {
				continue
			}
			e := policy.AttemptEnded{ID: m.ID, Endpoint: t.endpoint, Attempt: i, Outcome: outcome,
				Latency: g.now - t.sent}
			if outcome == policy.Rejected && g.random.Intn(2) == 0 {
				e.RetryAfter = g.retryAfter()
			}
			e.Completed = m.completed || outcome == policy.OK
			events = append(events, e)
			if g.random.Intn(30) == 0 {
				events = append(events, e) // a duplicate, which has to change nothing
			}
		}
		if !m.completed && g.random.Intn(400) == 0 {
			events = append(events, policy.Withdrawn{ID: m.ID})
		}
	}
	return events
}

// outcome draws whether an attempt ends now, and with which outcome. At its deadline or timeout, it is
// TimedOut; before, attempts with the same endpoint and send time, as those of one call, have the same.
func (g *eventGenerator) outcome(m *observedMessage, t observedAttempt) (outcome policy.Outcome, ended bool) {
	limit := m.expires
	if t.timeout > 0 {
		limit = min(limit, t.sent+t.timeout)
	}
	if g.now >= limit {
		return policy.TimedOut, true
	}
	if g.random.Intn(6) != 0 {
		return policy.OK, false
	}
	outcome = g.prevailingOutcomes[g.checker.endpoints[t.endpoint].Destination]
	if g.random.Intn(4) == 0 {
		outcome = policy.Outcome(g.random.Intn(8))
	}
	call := fmt.Sprint(t.endpoint, t.sent)
	if drawn, ok := g.callOutcomes[call]; ok {
		outcome = drawn
	}
	if outcome == policy.TimedOut {
		return policy.OK, false
	}
	g.callOutcomes[call] = outcome
	return outcome, true
}

// retryAfter draws the Retry-After of a rejection; with state on demand, one in four is longRetryAfter.
func (g *eventGenerator) retryAfter() time.Duration {
	retryAfter := time.Duration(g.random.Intn(2000)) * time.Millisecond
	if g.settings.Directory != nil && g.random.Intn(4) == 0 {
		return longRetryAfter
	}
	return retryAfter
}

// runSeeded runs a dispatcher with random settings on random events, and returns its actions. It stops with
// an error at the first action that breaks a rule.
func runSeeded(seed int64, steps int) ([]policy.Action, error) {
	r := rand.New(rand.NewSource(seed))
	return runWith(&eventGenerator{random: r, settings: randomSettings(r)}, seed, steps)
}

// runWith does the same as runSeeded, with the settings and the random source of the given eventGenerator.
func runWith(g *eventGenerator, seed int64, steps int) ([]policy.Action, error) {
	r, s := g.random, g.settings
	g.checker, g.now, g.prevailingOutcomes, g.callOutcomes = newRuleChecker(s), time.Hour,
		make([]policy.Outcome, 5), map[string]policy.Outcome{}
	d, err := policy.New(s, seed)
	if err != nil {
		return nil, err
	}
	var all []policy.Action
	for range steps {
		if r.Intn(600) == 0 { // the process crashes and restarts
			if d, err = policy.New(s, seed); err != nil {
				return nil, err
			}
			g.checker, g.timers = newRuleChecker(s), nil
			g.endpoints = nil
		}
		if s.Directory != nil {
			g.pauseTraffic()
		}
		events := g.nextBatch()
		g.checker.observe(g.now, events)
		actions := d.Handle(instant.Time(g.now), events)
		all = append(all, actions...)
		for _, a := range actions {
			switch a := a.(type) {
			case policy.SetTimer:
				g.timers = append(g.timers, g.now+a.After)
			case policy.Cancel:
				m := g.checker.messages[a.ID]
				m.attempts[a.Attempt].timeout = max(1, g.now-m.attempts[a.Attempt].sent)
			}
		}
		if err := g.checker.check(actions); err != nil {
			return all, err
		}
	}
	return all, nil
}
