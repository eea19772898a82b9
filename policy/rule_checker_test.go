package policy_test

import (
	"fmt"
	"time"

	"milletsail/policy"
)

const answerSlack = 20 * time.Millisecond

// checker follows events and actions and reports the first action that breaks one of the six rules. It
// is written from the wording of the rules and shares no code with the module.
type checker struct {
	settings            policy.Settings
	now                 time.Duration
	messages            map[string]*observedMessage
	order               []*observedMessage
	endpoints           map[string]*observedEndpoint
	waits               map[string]time.Duration // by place.scope
	consecutiveFailures map[string]int           // failures in a row, by endpoint
	lastSuccess         map[string]time.Duration // last success, by endpoint
	lastFailedCall      map[string]time.Duration // when the last call that failed was sent, by endpoint
	sends               map[string][]time.Duration
}

type observedMessage struct {
	policy.Arrived
	class           policy.Class
	expires         time.Duration
	attempts        []observedAttempt
	completed       bool
	withdrawnAt     time.Duration // when it was withdrawn; an answer in the same batch is no fault
	keyBlockedUntil time.Duration
}

type observedAttempt struct {
	ep          string
	sent        time.Duration
	open        bool
	notExecuted bool
	timeout     time.Duration
}

type observedEndpoint struct {
	policy.Endpoint
	closed bool
	scope  string // what waits and outages bind: the destination, or the route
}

func newChecker(s policy.Settings) *checker {
	return &checker{settings: s, messages: map[string]*observedMessage{},
		endpoints: map[string]*observedEndpoint{}, waits: map[string]time.Duration{},
		consecutiveFailures: map[string]int{}, lastSuccess: map[string]time.Duration{},
		lastFailedCall: map[string]time.Duration{},
		sends:          map[string][]time.Duration{}}
}

func (c *checker) list(e policy.EndpointsUpdated) {
	named := map[string]bool{}
	for _, x := range e.Endpoints {
		named[x.ID] = true
		p := c.endpoints[x.ID]
		if p == nil {
			p = &observedEndpoint{scope: fmt.Sprint("d", x.Destination)}
			if x.Kind < len(c.settings.Kinds) && c.settings.Kinds[x.Kind].SeparateRoutes {
				p.scope = x.ID
			}
			c.endpoints[x.ID] = p
		}
		p.Endpoint, p.closed = x, x.Draining || x.Removed
	}
	for id, p := range c.endpoints {
		if e.Complete && !named[id] {
			p.closed = true
		}
	}
}

func (c *checker) ended(e policy.AttemptEnded) {
	m := c.messages[e.ID]
	if m == nil || e.Attempt >= len(m.attempts) || !m.attempts[e.Attempt].open {
		return
	}
	t := &m.attempts[e.Attempt]
	t.open = false
	t.notExecuted = e.Outcome == policy.Rejected || e.Outcome == policy.ConnectError ||
		e.Outcome == policy.NotSent
	if e.Outcome == policy.TimedOut || e.Outcome == policy.Reset || e.Outcome == policy.Canceled {
		m.keyBlockedUntil = c.now + c.settings.OrderedKeyDelay
	}
	switch {
	case e.Outcome == policy.OK:
		m.completed = true
		c.consecutiveFailures[t.ep], c.lastSuccess[t.ep] = 0, c.now
	// tells nothing new: an old call, or a bundle's next
	case t.sent <= max(c.lastSuccess[t.ep], c.lastFailedCall[t.ep]):
	case e.Outcome == policy.Failed || e.Outcome == policy.Reset || e.Outcome == policy.ConnectError:
		c.consecutiveFailures[t.ep]++
		c.lastFailedCall[t.ep] = t.sent
	}
	if e.RetryAfter > 0 {
		scope := c.endpoints[t.ep].scope
		c.waits[scope] = max(c.waits[scope], c.now+e.RetryAfter)
	}
	m.completed = m.completed || e.Completed
}

func (c *checker) events(now time.Duration, events []policy.Event) {
	c.now = now
	for _, e := range events {
		switch e := e.(type) {
		case policy.Arrived:
			m := &observedMessage{Arrived: e, class: c.settings.Classes[e.Class], expires: now + e.TimeLeft,
				withdrawnAt: -1}
			c.messages[e.ID] = m
			c.order = append(c.order, m)
		case policy.AttemptEnded:
			c.ended(e)
		case policy.Withdrawn:
			if m := c.messages[e.ID]; m != nil && !m.completed {
				m.completed, m.withdrawnAt = true, now
			}
		case policy.EndpointsUpdated:
			c.list(e)
		}
	}
}

func (c *checker) actions(actions []policy.Action) error {
	for _, a := range actions {
		var err error
		switch a := a.(type) {
		case policy.Send:
			err = c.send(a)
		case policy.Reject:
			err = c.reject(a)
		case policy.Fail:
			if m := c.messages[a.ID]; m == nil || m.completed && m.withdrawnAt != c.now {
				err = fmt.Errorf("rule 1: %s failed, but it is over", a.ID)
			} else {
				m.completed = true
			}
		}
		if err != nil {
			return fmt.Errorf("at %v: %w", c.now, err)
		}
	}
	for _, m := range c.order {
		if !m.completed && c.now > m.expires+answerSlack {
			return fmt.Errorf("at %v: rule 1: %s has no answer by %v", c.now, m.ID, m.expires)
		}
	}
	return nil
}

// mayHaveRun gives the first try that may have run.
func (m *observedMessage) mayHaveRun() *observedAttempt {
	for i := range m.attempts {
		if !m.attempts[i].notExecuted {
			return &m.attempts[i]
		}
	}
	return nil
}

func (c *checker) reject(a policy.Reject) error {
	m := c.messages[a.ID]
	if m == nil || m.completed && m.withdrawnAt != c.now {
		return fmt.Errorf("rule 1: %s refused, but it is over", a.ID)
	}
	m.completed = true
	if m.mayHaveRun() != nil &&
		(m.class.Effect == policy.NotIdempotent || m.class.Effect == policy.IdempotentWithKey &&
			m.class.KeysPerZone) {
		return fmt.Errorf("rule 2: %s refused, but it may have run", a.ID)
	}
	return nil
}

func (c *checker) send(a policy.Send) error {
	m, p := c.messages[a.ID], c.endpoints[a.Endpoint]
	switch {
	case m == nil || m.completed:
		return fmt.Errorf("rule 1: %s sent, but it is over", a.ID)
	case p == nil || p.Destination != m.Destination:
		return fmt.Errorf("%s sent to %s, which is not its destination's", a.ID, a.Endpoint)
	case p.closed:
		return fmt.Errorf("rule 3: %s sent to %s, which drains or is gone", a.ID, a.Endpoint)
	case c.now < c.waits[p.scope]:
		return fmt.Errorf("rule 6: %s sent to %s within a wait", a.ID, a.Endpoint)
	}
	for _, t := range m.attempts {
		if t.open && !c.settings.HedgedRequests {
			return fmt.Errorf("rule 2: %s has two attempts out", a.ID)
		}
	}
	if t := m.mayHaveRun(); t != nil {
		switch {
		case m.class.Effect == policy.NotIdempotent:
			return fmt.Errorf("rule 2: unsafe %s sent again", a.ID)
		case m.class.Effect == policy.IdempotentWithKey && c.now > t.sent+m.class.IdempotencyWindow:
			return fmt.Errorf("rule 2: keyed %s sent after its memory", a.ID)
		case m.class.Effect == policy.IdempotentWithKey && m.class.KeysPerZone &&
			c.endpoints[t.ep].Zone != p.Zone:
			return fmt.Errorf("rule 2: keyed %s sent to another zone", a.ID)
		}
	}
	if err := c.inTurn(m); err != nil {
		return err
	}
	m.attempts = append(m.attempts,
		observedAttempt{ep: a.Endpoint, sent: c.now, open: true, timeout: a.Timeout})
	return c.outage(p)
}

func (c *checker) inTurn(m *observedMessage) error {
	if !m.class.Ordered || m.Key == "" {
		return nil
	}
	for _, o := range c.order {
		if o == m {
			return nil
		}
		if o.Key != m.Key || !o.class.Ordered {
			continue
		}
		open := !o.completed || c.now < o.keyBlockedUntil
		for _, t := range o.attempts {
			open = open || t.open
		}
		if open {
			return fmt.Errorf("rule 5: %s sent before %s was done", m.ID, o.ID)
		}
	}
	return nil
}

// outage holds the sends to endpoints that only fail to this relay's part of what a destination in slow start
// can take, with capacity for one call an endpoint, one that a sibling's return brings forward and two of
// chance.
func (c *checker) outage(p *observedEndpoint) error {
	const sure = 5 // failures in a row that no chance explains
	if c.consecutiveFailures[p.ID] < sure {
		return nil
	}
	list := c.sends[p.scope]
	if n := len(list); n > 0 && list[n-1] == c.now && c.settings.Kinds[p.Kind].MaxBatch > 1 {
		return nil // the same call, by as many as one holds
	}
	list = append(list, c.now)
	for list[0] <= c.now-c.settings.OverloadWindow {
		list = list[1:]
	}
	c.sends[p.scope] = list
	eps := 0
	for _, q := range c.endpoints {
		if q.scope == p.scope {
			eps++
		}
	}
	weight := p.Weight
	if c.settings.Weights == policy.WeightsOff {
		weight = float64(c.settings.FleetSize)
	}
	all := c.settings.OverloadFactor * c.settings.SlowStartInitialShare * weight * c.settings.OverloadWindow.Seconds()
	if budget := all/float64(c.settings.FleetSize) + float64(eps+3); float64(len(list)) > budget {
		return fmt.Errorf("rule 4: %d sends to %s within %v, %.1f allowed, %d eps %v %+v", len(list), p.ID,
			c.settings.OverloadWindow, budget, eps, list, c.settings)
	}
	return nil
}
