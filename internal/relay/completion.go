package relay

import (
	"log/slog"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/notifier"
	"milletsail/policy"
)

// The counters of messages that were not delivered, by reason.
const (
	failedAttempts      = "relay_calls_without_delivery"
	undeliveredMessages = "relay_undelivered"
)

// completeAttempt takes in the end of a call for a message.
func (l *loop) completeAttempt(e attemptEnded) {
	m := l.messages[e.id] // stays as long as a call is in flight
	m.cancel = nil
	if e.Outcome != policy.OK {
		l.metrics.Reasons.Increment(failedAttempts, e.Outcome)
		slog.Info("attempt failed", "request_id", e.id, "destination", m.Dest, "endpoint", e.endpoint, "attempt", e.attempt,
			"outcome", e.Outcome, "latency", e.latency, "retry_after", e.RetryAfter)
	}
	l.observeFailure(e)
	if l.journal.Get(m.ID) == m.Entry {
		l.journal.EndAttempt(m.Entry, e.Outcome.ProvesNotExecuted())
	}
	if e.Outcome == policy.NotStarted { // no attempt was made; until the next segment a later process takes it for one not executed
		m.Attempts = m.Attempts[:e.attempt]
	}
	l.batch.events = append(l.batch.events, policy.AttemptEnded{ID: e.id, Endpoint: e.endpoint, Attempt: e.attempt, Outcome: e.Outcome,
		RetryAfter: e.RetryAfter, Latency: e.latency, Completed: e.Completed, AttemptsExhausted: e.AttemptsExhausted, LoadReport: e.LoadReport})
	if !m.ended && e.Outcome == policy.OK {
		l.metrics.CountResult(l.classIndex(m.Class), metrics.Completed)
	} else if !m.ended && e.Completed { // its end came without this relay
		l.metrics.CountResult(l.classIndex(m.Class), metrics.Failed)
	}
	if e.Completed || m.ended && m.PendingNotification == nil {
		l.complete(m)
	}
}

// endUndelivered ends a message that is not delivered: by a response if it has none yet, else by a notification.
func (l *loop) endUndelivered(m *message, response frontend.Response, status string, reason policy.Reason) {
	if m == nil || m.ended {
		return
	}
	slog.Info("message not delivered", "request_id", m.ID, "destination", m.Dest, "class", m.Class, "status", status, "reason", reason,
		"attempts", len(m.Attempts), "accepted", m.responses == nil, "time_left", clock.Until(m.ExpiresAt), "retry_after", response.RetryAfter)
	l.metrics.Reasons.Increment(undeliveredMessages, reason)
	result := metrics.Failed
	if status == notifier.StatusDeferred {
		result = metrics.Rejected
	}
	l.metrics.CountResult(l.classIndex(m.Class), result)
	if responses := m.responses; responses != nil {
		m.responses = nil
		l.batch.afterCommit = append(l.batch.afterCommit, func() { respondAll(responses, response) })
		l.complete(m)
		return
	}
	m.ended = true
	l.countEnded(m)
	notification := journal.Notification{ID: m.ID, Status: status, RetryAfterMS: response.RetryAfter.Milliseconds()}
	l.journal.RecordPendingNotification(m.Entry, notification)
	l.unrecordedNotifications = append(l.unrecordedNotifications, unrecordedNotification{notification, m.ExpiresAt})
}

// respondAll gives all that submitted a message the same response.
func respondAll(responses []chan frontend.Response, response frontend.Response) {
	for _, r := range responses {
		r <- response
	}
}

// complete notes that nothing more has to be done for a message.
func (l *loop) complete(m *message) {
	m.ended = true
	l.countEnded(m)
	if l.journal.Get(m.ID) == m.Entry {
		l.journal.Complete(m.Entry)
	}
	m.PendingNotification = nil
	if m.cancel == nil {
		delete(l.messages, m.ID)
	}
}

// countPending counts a message as pending until countEnded.
func (l *loop) countPending(m *message) {
	m.countedPending = true
	l.metrics.Pending.Add(1)
}

// countEnded counts a message as pending no more.
func (l *loop) countEnded(m *message) {
	if m.countedPending {
		m.countedPending = false
		l.metrics.Pending.Add(-1)
	}
}
