package policy_test

import (
	"fmt"
	"time"

	"milletsail/policy"
)

// endSlack is the longest time after its deadline at which a message may still end.
const endSlack = 20 * time.Millisecond

// ruleChecker observes events and actions and reports the first action that breaks a rule:
//
//  1. Each message ends exactly once, and no later than endSlack after its deadline.
//  2. No message may run twice unless its Effect allows it, only a message that the client can safely send
//     again is rejected, and without HedgedRequests a message has at most one attempt in flight.
//  3. Endpoints that drain or are removed get no calls.
//  4. Endpoints that only fail get no more calls than checkOutageRate allows.
//  5. Messages of an ordered class with the same key are sent one at a time, in order of arrival.
//  6. No call is sent within the Retry-After of a destination or route.
//
// It implements the rules independently and shares no code with package policy.
type ruleChecker struct {
	settings        policy.Settings
	now             time.Duration
	messages        map[string]*observedMessage  // all messages, by ID
	order           []*observedMessage           // all messages, in order of arrival
	endpoints       map[string]*observedEndpoint // all endpoints, also removed ones, by ID
	retryAfterUntil map[string]time.Duration     // end of the last Retry-After, by observedEndpoint.scope
	// consecutiveFailures counts the failed calls since the last success, by endpoint; other outcomes leave
	// it as it is.
	consecutiveFailures map[string]int
	lastSuccess         map[string]time.Duration // time of the last success, by endpoint
	lastFailedCallSent  map[string]time.Duration // send time of the last failed call, by endpoint
	// outageSends holds the send times of the calls that checkOutageRate counts, by observedEndpoint.scope.
	outageSends map[string][]time.Duration
}

type observedMessage struct {
	policy.Arrived
	class     policy.Class
	expires   time.Duration
	attempts  []observedAttempt
	completed bool
	// withdrawnAt is the time of the withdrawal, or -1. Reject or Fail in the same batch is allowed.
	withdrawnAt time.Duration
	// keyBlockedUntil is when OrderedKeyDelay ends after an attempt that may still run at the endpoint.
	keyBlockedUntil time.Duration
}

type observedAttempt struct {
	endpoint    string
	sent        time.Duration
	open        bool
	notExecuted bool
	// timeout is the response timeout, as in Send. At a Cancel, runWith replaces it by the time since the
	// attempt was sent, so that the attempt ends in the next batch.
	timeout time.Duration
}

type observedEndpoint struct {
	policy.Endpoint
	closedToCalls bool // whether the endpoint drains or is removed
	// scope is what a Retry-After or an outage applies to: "d" and the destination's number, or a route's ID.
	scope string
}

func newRuleChecker(s policy.Settings) *ruleChecker {
	return &ruleChecker{settings: s, messages: map[string]*observedMessage{},
		endpoints: map[string]*observedEndpoint{}, retryAfterUntil: map[string]time.Duration{},
		consecutiveFailures: map[string]int{}, lastSuccess: map[string]time.Duration{},
		lastFailedCallSent: map[string]time.Duration{},
		outageSends:        map[string][]time.Duration{}}
}

func (c *ruleChecker) updateEndpoints(e policy.EndpointsUpdated) {
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
		p.Endpoint, p.closedToCalls = x, x.Draining || x.Removed
	}
	for id, p := range c.endpoints {
		if e.Complete && !named[id] {
			p.closedToCalls = true
		}
	}
}

func (c *ruleChecker) attemptEnded(e policy.AttemptEnded) {
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
		c.consecutiveFailures[t.endpoint], c.lastSuccess[t.endpoint] = 0, c.now
	// A call sent no later than the last success or the last failed call says nothing new; nor does another
	// message of the same call.
	case t.sent <= max(c.lastSuccess[t.endpoint], c.lastFailedCallSent[t.endpoint]):
	case e.Outcome == policy.Failed || e.Outcome == policy.Reset || e.Outcome == policy.ConnectError:
		c.consecutiveFailures[t.endpoint]++
		c.lastFailedCallSent[t.endpoint] = t.sent
	}
	if e.RetryAfter > 0 {
		scope := c.endpoints[t.endpoint].scope
		c.retryAfterUntil[scope] = max(c.retryAfterUntil[scope], c.now+e.RetryAfter)
	}
	m.completed = m.completed || e.Completed
}

func (c *ruleChecker) observe(now time.Duration, events []policy.Event) {
	c.now = now
	for _, e := range events {
		switch e := e.(type) {
		case policy.Arrived:
			m := &observedMessage{Arrived: e, class: c.settings.Classes[e.Class], expires: now + e.TimeLeft,
				withdrawnAt: -1}
			c.messages[e.ID] = m
			c.order = append(c.order, m)
		case policy.AttemptEnded:
			c.attemptEnded(e)
		case policy.Withdrawn:
			if m := c.messages[e.ID]; m != nil && !m.completed {
				m.completed, m.withdrawnAt = true, now
			}
		case policy.EndpointsUpdated:
			c.updateEndpoints(e)
		}
	}
}

func (c *ruleChecker) check(actions []policy.Action) error {
	for _, a := range actions {
		var err error
		switch a := a.(type) {
		case policy.Send:
			err = c.checkSend(a)
		case policy.Reject:
			err = c.checkReject(a)
		case policy.Fail:
			if m := c.messages[a.ID]; m == nil || m.completed && m.withdrawnAt != c.now {
				err = fmt.Errorf("rule 1: Fail for message %s, which has already ended", a.ID)
			} else {
				m.completed = true
			}
		}
		if err != nil {
			return fmt.Errorf("at %v: %w", c.now, err)
		}
	}
	for _, m := range c.order {
		if !m.completed && c.now > m.expires+endSlack {
			return fmt.Errorf("at %v: rule 1: message %s has not ended, though its deadline was %v", c.now,
				m.ID, m.expires)
		}
	}
	return nil
}

// firstPossiblyExecuted returns the first attempt that may have run at its endpoint, or nil.
func (m *observedMessage) firstPossiblyExecuted() *observedAttempt {
	for i := range m.attempts {
		if !m.attempts[i].notExecuted {
			return &m.attempts[i]
		}
	}
	return nil
}

func (c *ruleChecker) checkReject(a policy.Reject) error {
	m := c.messages[a.ID]
	if m == nil || m.completed && m.withdrawnAt != c.now {
		return fmt.Errorf("rule 1: Reject for message %s, which has already ended", a.ID)
	}
	m.completed = true
	if m.firstPossiblyExecuted() != nil &&
		(m.class.Effect == policy.NotIdempotent || m.class.Effect == policy.IdempotentWithKey &&
			m.class.KeysPerZone) {
		return fmt.Errorf("rule 2: Reject for message %s, which may have run and can't safely be sent again",
			a.ID)
	}
	return nil
}

func (c *ruleChecker) checkSend(a policy.Send) error {
	m, p := c.messages[a.ID], c.endpoints[a.Endpoint]
	switch {
	case m == nil || m.completed:
		return fmt.Errorf("rule 1: message %s sent after it ended", a.ID)
	case p == nil || p.Destination != m.Destination:
		return fmt.Errorf("message %s sent to endpoint %s, which does not belong to its destination", a.ID,
			a.Endpoint)
	case p.closedToCalls:
		return fmt.Errorf("rule 3: message %s sent to endpoint %s, which drains or is removed", a.ID,
			a.Endpoint)
	case c.now < c.retryAfterUntil[p.scope]:
		return fmt.Errorf("rule 6: message %s sent to endpoint %s within a Retry-After", a.ID, a.Endpoint)
	}
	for _, t := range m.attempts {
		if t.open && !c.settings.HedgedRequests {
			return fmt.Errorf("rule 2: message %s sent while another attempt is in flight", a.ID)
		}
	}
	if t := m.firstPossiblyExecuted(); t != nil {
		switch {
		case m.class.Effect == policy.NotIdempotent:
			return fmt.Errorf("rule 2: message %s is not idempotent and was sent again", a.ID)
		case m.class.Effect == policy.IdempotentWithKey && c.now > t.sent+m.class.IdempotencyWindow:
			return fmt.Errorf("rule 2: message %s sent again after the window of its idempotency key", a.ID)
		case m.class.Effect == policy.IdempotentWithKey && m.class.KeysPerZone &&
			c.endpoints[t.endpoint].Zone != p.Zone:
			return fmt.Errorf("rule 2: message %s sent to another zone, which does not share its "+
				"idempotency key", a.ID)
		}
	}
	if err := c.checkKeyOrder(m); err != nil {
		return err
	}
	m.attempts = append(m.attempts,
		observedAttempt{endpoint: a.Endpoint, sent: c.now, open: true, timeout: a.Timeout})
	return c.checkOutageRate(p)
}

func (c *ruleChecker) checkKeyOrder(m *observedMessage) error {
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
			return fmt.Errorf("rule 5: message %s sent before message %s of the same key was done", m.ID,
				o.ID)
		}
	}
	return nil
}

// checkOutageRate limits the calls to endpoints that only fail. Within an OverloadWindow, a scope gets this
// relay's part of the calls that would overload it at the start of a slow start, one for each endpoint, one
// that the recovery of a sibling brings forward, and two for chance.
func (c *ruleChecker) checkOutageRate(p *observedEndpoint) error {
	// With fewer failed calls since its last success, an endpoint does not count as one that only fails.
	const minConsecutiveFailures = 5
	if c.consecutiveFailures[p.ID] < minConsecutiveFailures {
		return nil
	}
	sendTimes := c.outageSends[p.scope]
	if n := len(sendTimes); n > 0 && sendTimes[n-1] == c.now && c.settings.Kinds[p.Kind].MaxBatch > 1 {
		return nil // counts as another message of the same call
	}
	sendTimes = append(sendTimes, c.now)
	for sendTimes[0] <= c.now-c.settings.OverloadWindow {
		sendTimes = sendTimes[1:]
	}
	c.outageSends[p.scope] = sendTimes
	endpointCount := 0
	for _, q := range c.endpoints {
		if q.scope == p.scope {
			endpointCount++
		}
	}
	weight := p.Weight
	if c.settings.Weights == policy.WeightsOff {
		weight = float64(c.settings.FleetSize)
	}
	overloadCalls := c.settings.OverloadFactor * c.settings.SlowStartInitialShare * weight *
		c.settings.OverloadWindow.Seconds()
	if budget := overloadCalls/float64(c.settings.FleetSize) +
		float64(endpointCount+3); float64(len(sendTimes)) > budget {
		return fmt.Errorf("rule 4: %d calls to failing endpoints of %s, the last to %s, within %v, %.1f "+
			"allowed; the scope has %d endpoints; calls sent at %v, settings %+v", len(sendTimes), p.scope,
			p.ID, c.settings.OverloadWindow, budget, endpointCount, sendTimes, c.settings)
	}
	return nil
}
