package relay

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/journal"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/metrics"
	"milletsail/policy"
)

// commit writes the batch's records, and only then answers clients and starts calls: what was answered with 202 and what was
// sent must be known to a later process.
func (l *loop) commit(ctx context.Context) {
	err := l.journal.Commit()
	l.setWritable(err == nil)
	newMessages, sends, afterCommit := l.batch.newMessages, l.batch.sends, l.batch.afterCommit
	l.batch.newMessages, l.batch.sends, l.batch.afterCommit = nil, nil, nil
	if err != nil {
		slog.Debug("journal not written: nothing accepted, and sent only what is idempotent", "error", err)
	}
	l.respondToNew(newMessages, err == nil)
	l.startCalls(ctx, sends, err == nil)
	for _, m := range newMessages {
		if m.responses != nil { // not accepted after all
			l.complete(m)
		}
	}
	for _, run := range afterCommit {
		run()
	}
	l.enqueueRecorded(err == nil)
}

// respondToNew answers the clients of new messages that the policy did not reject.
func (l *loop) respondToNew(messages []*message, written bool) {
	for _, m := range messages {
		switch {
		case m.responses == nil: // rejected
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

// startCalls starts the calls of a batch. Sends of one call follow each other.
func (l *loop) startCalls(ctx context.Context, sends []send, written bool) {
	for len(sends) > 0 {
		n := 1
		for n < len(sends) && sends[n].call == sends[0].call {
			n++
		}
		call := sends[:n]
		sends = sends[n:]
		if written || !slices.ContainsFunc(call, l.needsRecord) {
			l.startCall(ctx, call)
			continue
		}
		for _, s := range call {
			l.completeUnsent(s, policy.NotStarted)
		}
	}
}

// needsRecord reports whether an attempt may not be made without its record: a later process may make it again, which is
// harmless only in an idempotent class. Nor is one made of a message that was not accepted after all.
func (l *loop) needsRecord(s send) bool {
	class := l.cfg.Policy.Classes[l.classIndex(s.message.Class)]
	return class.Effect != policy.Idempotent || s.message.responses != nil
}

// unrecordedNotification is a notification of a message whose end has to be on disk before the platform learns of it: a process
// that follows a kill would else go on with a message that has ended.
type unrecordedNotification struct {
	notification journal.Notification
	expiresAt    instant.Time // of the message: from then on no process sends it any more
}

// enqueueRecorded enqueues the notifications whose ends are on disk, or whose messages have expired whether or not they are.
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

// setWritable tells the policy and the operators when the journal can't be written any more, and when it can again.
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
