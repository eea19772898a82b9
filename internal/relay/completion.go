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

// completeAttempt takes in the end of a call for a message.
func (l *loop) completeAttempt(e attemptEnded) {
	m := l.messages[e.id] // stays as long as a call is out
	m.cancel = nil
	if e.Outcome != policy.OK {
		l.metrics.Reasons.Increment("relay_calls_without_delivery", e.Outcome)
		slog.Info("call without delivery", "id", e.id, "dest", m.Dest, "host", e.endpoint, "attempt", e.attempt,
			"outcome", e.Outcome, "took", e.latency, "wait", e.RetryAfter)
	}
	l.observeFailure(e)
	unrun := e.Outcome == policy.Rejected || e.Outcome == policy.ConnectError || e.Outcome == policy.NotSent || e.Outcome == policy.NotStarted
	if l.journal.Get(m.ID) == m.Entry {
		l.journal.EndAttempt(m.Entry, unrun)
	}
	if e.Outcome == policy.NotStarted { // no attempt was made; until the next segment a later process takes it for one that never ran
		m.Attempts = m.Attempts[:e.attempt]
	}
	l.events = append(l.events, policy.AttemptEnded{ID: e.id, Endpoint: e.endpoint, Attempt: e.attempt, Outcome: e.Outcome,
		RetryAfter: e.RetryAfter, Latency: e.latency, Completed: e.Completed, AttemptsExhausted: e.AttemptsExhausted, LoadReport: e.LoadReport})
	if !m.ended && e.Outcome == policy.OK {
		l.metrics.CountResult(l.classIndex(m.Class), metrics.Completed)
	} else if !m.ended && e.Completed { // its end came without us
		l.metrics.CountResult(l.classIndex(m.Class), metrics.Failed)
	}
	if e.Completed || m.ended && m.PendingNotification == nil {
		l.complete(m)
	}
}

// endUndelivered ends a message undelivered: by its answer if that is still due, else by a notice.
func (l *loop) endUndelivered(m *message, v frontend.Response, status string, why policy.Reason) {
	if m == nil || m.ended {
		return
	}
	slog.Info("undelivered", "id", m.ID, "dest", m.Dest, "class", m.Class, "status", status, "why", why, "attempts", len(m.Attempts),
		"taken", m.responses == nil, "left", clock.Until(m.ExpiresAt), "after", v.RetryAfter)
	l.metrics.Reasons.Increment("relay_undelivered", why)
	how := metrics.Failed
	if status == notifier.StatusDeferred {
		how = metrics.Rejected
	}
	l.metrics.CountResult(l.classIndex(m.Class), how)
	if replies := m.responses; replies != nil {
		m.responses = nil
		l.afterCommit = append(l.afterCommit, func() { respondAll(replies, v) })
		l.complete(m)
		return
	}
	m.ended = true
	l.countEnded(m)
	n := journal.Notification{ID: m.ID, Status: status, RetryAfterMS: v.RetryAfter.Milliseconds()}
	l.journal.RecordPendingNotification(m.Entry, n)
	l.unrecordedNotifications = append(l.unrecordedNotifications, unrecordedNotification{n, m.ExpiresAt})
}

// respondAll gives all that handed a message in the same verdict.
func respondAll(replies []chan frontend.Response, v frontend.Response) {
	for _, reply := range replies {
		reply <- v
	}
}

// complete notes that nothing more is owed for a message.
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

// countPending counts a message as taken on until it is settled.
func (l *loop) countPending(m *message) {
	m.countedPending = true
	l.metrics.Pending.Add(1)
}

// countEnded notes that a message taken on has its end.
func (l *loop) countEnded(m *message) {
	if m.countedPending {
		m.countedPending = false
		l.metrics.Pending.Add(-1)
	}
}
