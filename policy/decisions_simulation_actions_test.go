package policy_test

import (
	"fmt"
	"math"
	"time"

	"milletsail/policy"
)

// apply carries out an action of a relay's dispatcher.
func (s *simulation) apply(relay *simulatedRelay, action policy.Action) {
	switch action := action.(type) {
	case policy.Send:
		s.send(relay, action)
	case policy.Reject:
		relay.messages[action.ID].completed = true
	case policy.Fail:
		relay.messages[action.ID].completed = true
	case policy.Cancel:
		if message := relay.messages[action.ID]; message != nil {
			s.endEarly(&message.attempts[action.Attempt], policy.Canceled)
		}
	case policy.CancelUnwritten:
		s.cancelUnwritten(relay, action.Endpoint)
	case policy.SetTimer:
		relay.timers = append(relay.timers, s.now+action.After)
	case policy.Subscribe:
		relay.subscribed = true
		relay.inbox = append(relay.inbox, s.completeList())
	case policy.PersistHealth:
		relay.persist(action)
	case policy.PersistSuspicion:
		relay.persist(policy.PersistHealth{Endpoint: action.Endpoint, Ejected: action.Suspected, At: action.At})
	case policy.PublishRate:
		s.publishedRates = append(s.publishedRates, action)
	case policy.Broadcast:
		s.broadcast(relay, action)
	}
}

// persist records the health of an endpoint for the next process.
func (r *simulatedRelay) persist(health policy.PersistHealth) {
	if _, known := r.persisted[health.Endpoint]; !known {
		r.persistedOrder = append(r.persistedOrder, health.Endpoint)
	}
	r.persisted[health.Endpoint] = health
}

// broadcast queues a gossip message for the other relays. One in 20 is lost, and one in 20 arrives twice.
func (s *simulation) broadcast(from *simulatedRelay, action policy.Broadcast) {
	for _, relay := range s.relays {
		if relay == from || s.oneIn(20) {
			continue
		}
		relay.inbox = append(relay.inbox, policy.GossipReceived(action))
		if s.oneIn(20) {
			relay.inbox = append(relay.inbox, policy.GossipReceived(action))
		}
	}
}

// endEarly makes an attempt in flight end with the given outcome in the relay's next batch.
func (s *simulation) endEarly(attempt *simulatedAttempt, outcome policy.Outcome) {
	if attempt.open && attempt.due > s.now {
		attempt.due, attempt.ending = s.now, policy.AttemptEnded{Outcome: outcome}
	}
}

// cancelUnwritten ends with NotSent half of the calls to an endpoint that were sent in the last 20 ms (those
// with even numbers).
func (s *simulation) cancelUnwritten(relay *simulatedRelay, endpoint string) {
	for _, message := range relay.order {
		for i := range message.attempts {
			attempt := &message.attempts[i]
			recent := attempt.sent >= s.now-20*time.Millisecond
			if attempt.endpoint == endpoint && attempt.open && recent && attempt.call%2 == 0 {
				s.endEarly(attempt, policy.NotSent)
			}
		}
	}
}

// send starts an attempt. The result is drawn once for each call; a message whose deadline or timeout comes
// before the end of the call times out then instead.
func (s *simulation) send(relay *simulatedRelay, action policy.Send) {
	message := relay.messages[action.ID]
	result, known := relay.results[action.Call]
	if !known {
		result = s.drawResult(s.server(action.Endpoint), message.arrived.Class)
		relay.results[action.Call] = result
	}
	attempt := simulatedAttempt{endpoint: action.Endpoint, call: action.Call, sent: s.now,
		due: s.now + result.after, ending: result.ending, open: true}
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

// drawResult draws how a call to a server ends, and after what time.
func (s *simulation) drawResult(server *simulatedServer, class int) callResult {
	shortDelay := 5*time.Millisecond + s.randomMilliseconds(15)
	result := func(outcome policy.Outcome, after time.Duration) callResult {
		return callResult{policy.AttemptEnded{Outcome: outcome}, after}
	}
	if server == nil { // the server was removed, and the relay has not yet handled that
		return result(policy.ConnectError, shortDelay)
	}
	latency := time.Duration(float64(server.latency) * (0.5 + s.random.ExpFloat64()/2) * float64(1+class) / 2)
	if notStarted := s.oneIn(8); s.scenario.notStarted && notStarted {
		return result(policy.NotStarted, shortDelay)
	}
	if s.scenario.errorsEverywhere && s.random.Intn(5) == 0 || server.flawed && s.oneIn(3) {
		return result(policy.Failed, latency)
	}
	switch server.condition {
	case slow:
		return result(policy.OK, 4*latency)
	case failing:
		if s.oneIn(3) {
			return result(policy.Reset, latency)
		}
		return result(policy.Failed, latency)
	case rejecting:
		return result(policy.Rejected, shortDelay)
	case rejectingWithRetryAfter:
		return callResult{policy.AttemptEnded{Outcome: policy.Rejected,
			RetryAfter: s.randomMilliseconds(4000)}, shortDelay}
	case hanging:
		return result(policy.TimedOut, time.Hour)
	case unreachable:
		return result(policy.ConnectError, shortDelay)
	case lossy:
		if s.oneIn(3) {
			return result(policy.TimedOut, time.Hour)
		}
	case connectionsFull:
		if s.oneIn(2) {
			return result(policy.ConnectError, shortDelay)
		}
	}
	return s.resultWithinLimit(server, latency, shortDelay)
}

// resultWithinLimit returns the result of a call that no fault of the server affects: calls above its rate
// limit are rejected, and one in 40 of the others ends with a random outcome.
func (s *simulation) resultWithinLimit(server *simulatedServer, latency, shortDelay time.Duration,
) callResult {
	allowed, left := s.takeToken(server.endpoint)
	if !allowed {
		rejection := policy.AttemptEnded{Outcome: policy.Rejected}
		if s.oneIn(6) {
			rejection.RetryAfter = s.randomMilliseconds(2500)
		}
		return callResult{rejection, shortDelay}
	}
	ended := policy.AttemptEnded{Outcome: policy.OK}
	if s.oneIn(40) {
		ended.Outcome = policy.Outcome(s.random.Intn(int(policy.NotStarted) + 1))
	}
	if s.scenario.loadReports && ended.Outcome == policy.OK {
		ended.LoadReport = &policy.LoadReport{Remaining: left, Limit: server.endpoint.Weight}
	}
	return callResult{ended, latency}
}

// takeToken takes a token from the rate limit of a destination, or of a route where routes are separate. It
// returns whether there was one, and the share of the bucket that is left.
func (s *simulation) takeToken(endpoint policy.Endpoint) (allowed bool, left float64) {
	scope := fmt.Sprint("destination", endpoint.Destination)
	if s.scenario.settings.Kinds[endpoint.Kind].SeparateRoutes {
		scope = endpoint.ID
	}
	relays := max(simulatedRelays, s.scenario.settings.FleetSize)
	rate := endpoint.Weight * simulatedRelays / float64(relays)
	burst := math.Max(2, rate)
	limit := s.limits[scope]
	if limit == nil {
		limit = &rateLimit{tokens: burst, at: s.now}
		s.limits[scope] = limit
	}
	limit.tokens = math.Min(burst, limit.tokens+rate*(s.now-limit.at).Seconds())
	limit.at = s.now
	if limit.tokens < 1 {
		return false, 0
	}
	limit.tokens--
	return true, limit.tokens / burst
}
