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

// The counters of failures, by reason.
const (
	// failedAttempts counts attempts that did not deliver their message, by outcome.
	failedAttempts = "relay_calls_without_delivery"
	// limitedAttempts counts attempts at endpoints that failed or recovered lately, by what limited them.
	limitedAttempts = "relay_limited_calls"
	// undeliveredMessages counts messages that ended without delivery, by the policy's reason.
	undeliveredMessages = "relay_undelivered"
)

// completeAttempt processes the result of an attempt: it counts and records the result, and passes it to the policy. It ends the
// message if nothing more has to be done for it.
func (l *loop) completeAttempt(attempt attemptEnded) {
	msg := l.messages[attempt.id] // not nil: complete keeps a message in the table while a call is in flight
	msg.cancel = nil
	l.recordResult(msg, attempt)
	if attempt.Outcome != policy.OK {
		l.metrics.Reasons.Increment(failedAttempts, attempt.Outcome)
		slog.Info("attempt failed", "request_id", attempt.id, "destination", msg.Dest, "endpoint", attempt.endpoint,
			"attempt", attempt.attempt, "limit", attempt.limit, "outcome", attempt.Outcome, "latency", attempt.latency,
			"retry_after", attempt.RetryAfter)
	}
	l.observeFailure(attempt)
	l.batch.events = append(l.batch.events, policy.AttemptEnded{ID: attempt.id, Endpoint: attempt.endpoint,
		Attempt: attempt.attempt, Outcome: attempt.Outcome, RetryAfter: attempt.RetryAfter, Latency: attempt.latency,
		Completed: attempt.Completed, AttemptsExhausted: attempt.AttemptsExhausted, LoadReport: attempt.LoadReport})
	msg.delivered = msg.delivered || attempt.Outcome == policy.OK
	if !msg.ended && attempt.Outcome == policy.OK {
		l.metrics.CountResult(l.classIndex(msg.Class), metrics.Completed)
	} else if !msg.ended && attempt.Completed { // the endpoint reported that the message needs no further attempt
		l.metrics.CountResult(l.classIndex(msg.Class), metrics.Failed)
	}
	switch {
	case !msg.keptUntil.IsZero() && !l.mayHaveExecuted(msg):
		l.stopKeeping(msg)
	case attempt.Completed || msg.ended && msg.PendingNotification == nil:
		l.complete(msg)
	}
}

// recordResult records the result of an attempt. An attempt that ended before its start was recorded is recorded now, as one that
// was not executed, if the policy counts it: all but those that could not be started.
func (l *loop) recordResult(msg *message, attempt attemptEnded) {
	begun := msg.begun
	msg.begun = false
	switch {
	case l.journal.Get(msg.ID) != msg.Entry:
	case begun:
		l.journal.EndAttempt(msg.Entry, attempt.Outcome.ProvesNotExecuted())
	case attempt.Outcome != policy.NotStarted && !msg.ended:
		l.journal.StartAttempt(msg.Entry, attempt.endpoint, attempt.sentAt)
		l.journal.EndAttempt(msg.Entry, attempt.Outcome.ProvesNotExecuted())
	}
}

// endUndelivered ends a message without delivery. A client that still waits for its response gets response; for a message that
// was accepted before, the platform gets a notification with status. It does nothing for a message that has ended.
func (l *loop) endUndelivered(msg *message, response frontend.Response, status string, reason policy.Reason) {
	if msg == nil || msg.ended {
		return
	}
	slog.Info("message not delivered", "request_id", msg.ID, "destination", msg.Dest, "class", msg.Class, "status", status,
		"reason", reason, "attempts", len(msg.Attempts), "accepted", msg.responses == nil, "time_left", clock.Until(msg.ExpiresAt),
		"retry_after", response.RetryAfter)
	l.metrics.Reasons.Increment(undeliveredMessages, reason)
	result := metrics.Failed
	if status == notifier.StatusDeferred {
		result = metrics.Rejected
	}
	l.metrics.CountResult(l.classIndex(msg.Class), result)
	if responses := msg.responses; responses != nil {
		msg.responses = nil
		l.batch.afterCommit = append(l.batch.afterCommit, func() { respondAll(responses, response) })
		l.complete(msg)
		return
	}
	msg.ended = true
	l.countEnded(msg)
	notification := journal.Notification{ID: msg.ID, Status: status, RetryAfterMS: response.RetryAfter.Milliseconds()}
	l.journal.RecordPendingNotification(msg.Entry, notification)
	l.unrecordedNotifications = append(l.unrecordedNotifications, unrecordedNotification{notification, msg.ExpiresAt})
}

// respondAll sends the same response to all clients that submitted a message.
func respondAll(responses []chan frontend.Response, response frontend.Response) {
	for _, r := range responses {
		r <- response
	}
}

// complete ends a message for which nothing more has to be done, and removes its journal entry. The message stays in the table
// while a call is in flight.
func (l *loop) complete(m *message) {
	m.ended = true
	l.countEnded(m)
	if !m.keptUntil.IsZero() {
		return // releaseKept completes it
	}
	l.remember(m)
	if l.journal.Get(m.ID) == m.Entry {
		l.journal.Complete(m.Entry)
	}
	m.PendingNotification = nil
	if m.cancel == nil {
		l.removeMessage(m)
	}
}

// countPending adds a message to the metric of pending messages. countEnded takes it out again.
func (l *loop) countPending(m *message) {
	m.countedPending = true
	l.metrics.Pending.Add(1)
}

// countEnded takes a message out of the metric of pending messages, if countPending has added it.
func (l *loop) countEnded(m *message) {
	if m.countedPending {
		m.countedPending = false
		l.metrics.Pending.Add(-1)
	}
}
