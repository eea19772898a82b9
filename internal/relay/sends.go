package relay

import (
	"log/slog"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/endpoints"
	"milletsail/internal/instant"
	"milletsail/internal/relay/upstream"
	"milletsail/policy"
)

// responseMargin is how long before the first of its messages expires the response to a call with several messages has to be
// read; a later response counts for none of them. The platform measures a message's time from when the client sent the request,
// so there the message expires earlier, by the relay's delay in reading the request. The protocol allows a tolerance of 50 ms on
// each of its time limits.
const responseMargin = 50 * time.Millisecond

// send is an attempt that the policy has decided on, as part of a call that is not started yet.
type send struct {
	message      *message
	call         int // the policy's number of the call; sends with the same number share one request
	attempt      int // index in the message's Attempts
	endpoint     endpoints.Entry
	sentAt       instant.Time  // when the policy decided on it
	timeout      time.Duration // limit for this attempt, at most the message's time left
	writeTimeout time.Duration // the request must be written within it or not at all; 0 for no limit
	expiresAt    instant.Time  // when the message expires
	limit        policy.CallLimit
}

// send adds an attempt to the batch. It does nothing for a message that has ended.
func (l *loop) send(now instant.Time, wanted policy.Send) {
	msg := l.messages[wanted.ID]
	if msg == nil || msg.ended {
		return
	}
	endpoint, listed := l.endpoints.table.Get(wanted.Endpoint)
	timeLeft := msg.ExpiresAt.Sub(now)
	s := send{message: msg, call: wanted.Call, attempt: len(msg.Attempts), endpoint: endpoint, sentAt: now, timeout: timeLeft,
		writeTimeout: wanted.WriteTimeout, expiresAt: msg.ExpiresAt, limit: wanted.Limit}
	if wanted.Timeout > 0 {
		s.timeout = min(timeLeft, wanted.Timeout)
	}
	if wanted.Limit != policy.Unlimited {
		l.metrics.Reasons.Increment(limitedAttempts, wanted.Limit)
		slog.Info("attempt to an endpoint after an outage or a failure", "request_id", wanted.ID, "destination", msg.Dest,
			"endpoint", wanted.Endpoint, "endpoints", l.countEndpoints(msg.Dest), "attempt", s.attempt, "limit", wanted.Limit,
			"budget_per_second", wanted.Budget)
	}
	if !listed || endpoint.Block != msg.Dest {
		// The protocol requires that a message is sent only to a listed endpoint of its destination.
		slog.Error("send to an endpoint of another destination", "endpoint", wanted.Endpoint, "destination", msg.Dest)
		s.endpoint.Host = wanted.Endpoint
		l.completeUnsent(s, policy.NotSent)
		return
	}
	l.batch.sends = append(l.batch.sends, s)
}

// completeUnsent ends an attempt for which no request was sent.
func (l *loop) completeUnsent(s send, outcome policy.Outcome) {
	l.completeAttempt(s.end(0, upstream.Result{Outcome: outcome}))
}

// end returns the event that reports the result of an attempt.
func (s send) end(latency time.Duration, result upstream.Result) attemptEnded {
	return attemptEnded{id: s.message.ID, attempt: s.attempt, endpoint: s.endpoint.Host, sentAt: s.sentAt, limit: s.limit,
		latency: latency, Result: result}
}

// responseDeadline returns the time by which the response to a call with several messages has to be read: responseMargin before
// the first of them expires. For a message with less than twice responseMargin left, the margin is half of its time left.
func responseDeadline(now instant.Time, sends []send) (deadline instant.Time) {
	for _, s := range sends {
		latest := s.expiresAt.Add(-min(responseMargin, s.expiresAt.Sub(now)/2))
		if deadline.IsZero() || latest < deadline {
			deadline = latest
		}
	}
	return deadline
}

// batchTimeout returns the timeout of a call with several messages: the longest timeout among its attempts, but the call ends two
// batch intervals before the first of the messages expires, which is also when the policy gives up a queued message. The result
// is at least one batch interval.
func batchTimeout(now instant.Time, sends []send, interval time.Duration) time.Duration {
	timeout := sends[0].timeout
	for _, s := range sends {
		timeout = max(timeout, s.timeout)
	}
	for _, s := range sends {
		timeout = min(timeout, s.expiresAt.Sub(now)-2*interval)
	}
	return max(timeout, interval)
}

// newCall returns the call for attempts at the same endpoint.
func (l *loop) newCall(sends []send) upstream.Call {
	call := upstream.Call{Addr: sends[0].endpoint.Dial, Timeout: sends[0].timeout}
	if len(sends) > 1 {
		now := clock.Now()
		call.Timeout, call.ResponseDeadline = batchTimeout(now, sends, l.cfg.Policy.BatchInterval), responseDeadline(now, sends)
	}
	for _, s := range sends {
		call.Messages = append(call.Messages, upstream.Message{ID: s.message.ID, Key: s.message.Key, Body: s.message.Body,
			Claim: new(upstream.WriteClaim)})
		if s.writeTimeout > 0 && (call.WriteTimeout == 0 || s.writeTimeout < call.WriteTimeout) {
			call.WriteTimeout = s.writeTimeout
		}
	}
	return call
}
