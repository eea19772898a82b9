package relay

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/journal"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/metrics"
	"milletsail/policy"
)

// commit writes the batch's journal records, and only then answers clients and starts calls: a process that follows a crash must
// find a record of every message that was answered with 202 and of every attempt that may have been sent. The start of an attempt
// is recorded once its call has all it needs of this machine, so that no record has to be taken back.
func (l *loop) commit(ctx context.Context) {
	ready, unconnected := l.reserveCalls()
	l.beginAttempts(ready)
	err := l.journal.Commit()
	l.setWritable(err == nil)
	newMessages, afterCommit := l.batch.newMessages, l.batch.afterCommit
	l.batch.newMessages, l.batch.afterCommit = nil, nil
	if err != nil {
		slog.Debug("journal not written: no message accepted, only attempts of idempotent classes sent", "error", err)
	}
	l.respondToNew(newMessages, err == nil)
	l.startCalls(ctx, ready, err == nil)
	l.connectCalls(ctx, unconnected, err == nil)
	for _, m := range newMessages {
		if m.responses != nil { // the policy did not reject it, but it was not accepted: its record was not written
			l.complete(m)
		}
	}
	for _, run := range afterCommit {
		run()
	}
	l.enqueueRecorded(err == nil)
}

// respondToNew answers the clients of the new messages that the policy has not rejected: 202 if their records are written, 503
// otherwise.
func (l *loop) respondToNew(messages []*message, written bool) {
	for _, m := range messages {
		switch {
		case m.responses == nil: // the policy rejected it, and endUndelivered has answered
		case !written:
			l.metrics.CountResult(l.classIndex(m.Class), metrics.Rejected)
			respondAll(m.responses, l.unavailableResponse())
			l.batch.events = append(l.batch.events, policy.Withdrawn{ID: m.ID})
		default:
			m.resubmitted = len(m.responses) > 1
			l.countPending(m)
			respondAll(m.responses, frontend.Response{Status: http.StatusAccepted})
			m.responses = nil
		}
	}
}

// unrecordedNotification is a notification that is held back until the end of its message is on disk or the message has expired.
// If the platform received it earlier and the process crashed, the next process would find the message live in the journal and
// send it.
type unrecordedNotification struct {
	notification journal.Notification
	expiresAt    instant.Time // when the message expires; from then on no process sends it, so the notification may go out
}

// enqueueRecorded passes held-back notifications to the notifier: all of them if the journal is written, otherwise those whose
// messages have expired.
func (l *loop) enqueueRecorded(written bool) {
	now := clock.Now()
	waiting := l.unrecordedNotifications[:0]
	for _, n := range l.unrecordedNotifications {
		if written || n.expiresAt <= now {
			l.notifier.Enqueue(n.notification)
		} else {
			waiting = append(waiting, n)
		}
	}
	l.unrecordedNotifications = waiting
}

// setWritable reports a change in whether the journal can be written to the policy and, through StorageError, to operators. It
// does nothing if the state is the same as before.
func (l *loop) setWritable(writable bool) {
	if writable == (l.metrics.StorageError.Load() == nil) {
		return
	}
	var reason *string
	if !writable {
		text := fmt.Sprint(l.journal.WriteError())
		reason = &text
	}
	l.metrics.StorageError.Store(reason)
	if writable {
		l.enqueueRecorded(true)
	}
	l.batch.events = append(l.batch.events, policy.StorageChanged{Writable: writable})
}
