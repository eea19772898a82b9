package policy_test

import (
	"fmt"
	"math"
	"time"

	"milletsail/policy"
)

// perform does what a relay wants done.
func (s *scene) perform(relay *simulatedRelay, action policy.Action) {
	switch action := action.(type) {
	case policy.Send:
		s.send(relay, action)
	case policy.Reject:
		relay.messages[action.ID].completed = true
	case policy.Fail:
		relay.messages[action.ID].completed = true
	case policy.Cancel:
		if message := relay.messages[action.ID]; message != nil {
			s.cut(&message.attempts[action.Attempt], policy.Canceled)
		}
	case policy.CancelUnwritten:
		s.cancelUnwritten(relay, action.Endpoint)
	case policy.SetTimer:
		relay.timers = append(relay.timers, s.now+action.After)
	case policy.Subscribe:
		relay.subscribed = true
		relay.inbox = append(relay.inbox, s.completeList())
	case policy.PersistHealth:
		if _, known := relay.remembered[action.Endpoint]; !known {
			relay.rememberedBy = append(relay.rememberedBy, action.Endpoint)
		}
		relay.remembered[action.Endpoint] = action
	case policy.PublishRate:
		s.shares = append(s.shares, action)
	case policy.Broadcast:
		s.broadcast(relay, action)
	}
}

// broadcast brings a note to the other relays; some are lost, some come twice.
func (s *scene) broadcast(from *simulatedRelay, action policy.Broadcast) {
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

// cancelUnwritten has half of the calls to an endpoint that are just begun come back unwritten.
func (s *scene) cancelUnwritten(relay *simulatedRelay, endpoint string) {
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
	case connectionsFull:
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
