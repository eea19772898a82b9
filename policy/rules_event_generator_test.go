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
	lastNumber         int
	timers             []time.Duration
	endpoints          []policy.Endpoint
	prevailingOutcomes []policy.Outcome // most frequent outcome at present, by destination
	callOutcomes       map[string]policy.Outcome
	trafficPaused      bool // no messages arrive
}

func (w *eventGenerator) endpointsUpdate() policy.EndpointsUpdated {
	complete := w.random.Intn(3) == 0 || len(w.endpoints) == 0
	if len(w.endpoints) == 0 || w.random.Intn(3) == 0 {
		dest := w.random.Intn(4)
		w.endpoints = append(w.endpoints, policy.Endpoint{ID: fmt.Sprint("e", w.lastNumber),
			Destination: dest, Kind: dest % 3, Zone: w.random.Intn(2), Weight: 2 + float64(dest)*3})
		w.lastNumber++
	}
	var out []policy.Endpoint
	for i := range w.endpoints {
		if w.random.Intn(12) == 0 {
			w.endpoints[i].Draining = true
		}
		if w.random.Intn(15) == 0 && len(w.endpoints) > 4 {
			w.endpoints[i].Removed = true
		}
		if !complete || !w.endpoints[i].Removed {
			out = append(out, w.endpoints[i])
		}
	}
	remaining := w.endpoints[:0]
	for _, e := range w.endpoints {
		if !e.Removed {
			remaining = append(remaining, e)
		}
	}
	w.endpoints = remaining
	return policy.EndpointsUpdated{Complete: complete, Endpoints: out}
}

// nextBatch moves the clock by 5 to 300 ms, or less to reach a timer, a deadline or a timeout exactly, and
// returns the events of that time.
func (w *eventGenerator) nextBatch() []policy.Event {
	at := w.now + time.Duration(1+w.random.Intn(60))*5*time.Millisecond
	for _, t := range w.timers {
		at = min(at, t)
	}
	for _, m := range w.checker.order {
		if !m.completed && m.expires > w.now {
			at = min(at, m.expires)
		}
		for _, t := range m.attempts {
			if t.open && t.timeout > 0 && t.sent+t.timeout > w.now {
				at = min(at, t.sent+t.timeout)
			}
		}
	}
	w.now = max(at, w.now+5*time.Millisecond)
	var events []policy.Event
	remaining := w.timers[:0]
	for _, t := range w.timers {
		if t <= w.now {
			events = append(events, policy.TimerFired{})
		} else {
			remaining = append(remaining, t)
		}
	}
	w.timers = remaining
	events = append(events, w.outcomes()...)
	if w.random.Intn(12) == 0 {
		events = append(events, w.endpointsUpdate())
	}
	if w.random.Intn(40) == 0 {
		events = append(events, policy.WatchFailed{})
	}
	for range w.random.Intn(4) {
		if w.trafficPaused {
			break
		}
		w.lastNumber++
		class := w.random.Intn(len(w.settings.Classes))
		e := policy.Arrived{ID: fmt.Sprint("m", w.lastNumber), Class: class, Destination: w.random.Intn(5),
			TimeLeft: w.settings.Classes[class].Deadline -
				time.Duration(w.random.Intn(2000))*time.Millisecond}
		if w.settings.Classes[class].Ordered && w.random.Intn(5) > 0 {
			e.Key = fmt.Sprint("k", w.random.Intn(3))
		}
		events = append(events, e)
	}
	return events
}

// outcomes returns the ends of attempts, those that time out and random others, and random withdrawals. It
// also changes prevailingOutcomes at random.
func (w *eventGenerator) outcomes() []policy.Event {
	var events []policy.Event
	for d := range w.prevailingOutcomes {
		if w.random.Intn(80) == 0 {
			w.prevailingOutcomes[d] = policy.Outcome(w.random.Intn(8))
		}
	}
	for _, m := range w.checker.order {
		for i, t := range m.attempts {
			if !t.open {
				continue
			}
			outcome, ended := w.outcome(m, t)
			if !ended {
				continue
			}
			e := policy.AttemptEnded{ID: m.ID, Endpoint: t.endpoint, Attempt: i, Outcome: outcome,
				Latency: w.now - t.sent}
			if outcome == policy.Rejected && w.random.Intn(2) == 0 {
				e.RetryAfter = w.retryAfter()
			}
			e.Completed = m.completed || outcome == policy.OK
			events = append(events, e)
			if w.random.Intn(30) == 0 {
				events = append(events, e) // a duplicate, which has to change nothing
			}
		}
		if !m.completed && w.random.Intn(400) == 0 {
			events = append(events, policy.Withdrawn{ID: m.ID})
		}
	}
	return events
}

// outcome draws whether an attempt ends now, and with which outcome; all messages of one call have the same.
func (w *eventGenerator) outcome(m *observedMessage, t observedAttempt) (outcome policy.Outcome, ended bool) {
	limit := m.expires
	if t.timeout > 0 {
		limit = min(limit, t.sent+t.timeout)
	}
	if w.now >= limit {
		return policy.TimedOut, true
	}
	if w.random.Intn(6) != 0 {
		return policy.OK, false
	}
	outcome = w.prevailingOutcomes[w.checker.endpoints[t.endpoint].Destination]
	if w.random.Intn(4) == 0 {
		outcome = policy.Outcome(w.random.Intn(8))
	}
	call := fmt.Sprint(t.endpoint, t.sent)
	if drawn, ok := w.callOutcomes[call]; ok {
		outcome = drawn
	}
	if outcome == policy.TimedOut {
		return policy.OK, false
	}
	w.callOutcomes[call] = outcome
	return outcome, true
}

// retryAfter draws the Retry-After of a rejection; with state on demand, one in four is longRetryAfter.
func (w *eventGenerator) retryAfter() time.Duration {
	retryAfter := time.Duration(w.random.Intn(2000)) * time.Millisecond
	if w.settings.Directory != nil && w.random.Intn(4) == 0 {
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

// runWith does the same with the settings and the random source of the given eventGenerator.
func runWith(w *eventGenerator, seed int64, steps int) ([]policy.Action, error) {
	r, s := w.random, w.settings
	w.checker, w.now, w.prevailingOutcomes, w.callOutcomes = newRuleChecker(s), time.Hour,
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
			w.checker, w.timers = newRuleChecker(s), nil
			w.endpoints = nil
		}
		if s.Directory != nil {
			w.pauseTraffic()
		}
		events := w.nextBatch()
		w.checker.observe(w.now, events)
		actions := d.Handle(instant.Time(w.now), events)
		all = append(all, actions...)
		for _, a := range actions {
			switch a := a.(type) {
			case policy.SetTimer:
				w.timers = append(w.timers, w.now+a.After)
			case policy.Cancel:
				m := w.checker.messages[a.ID]
				m.attempts[a.Attempt].timeout = max(1, w.now-m.attempts[a.Attempt].sent)
			}
		}
		if err := w.checker.check(actions); err != nil {
			return all, err
		}
	}
	return all, nil
}
