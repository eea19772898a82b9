package relay

import (
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

// commit writes the batch's records, and only then answers clients and makes calls: what was answered with
// 202 and what was sent must be known to a later process.
func (l *loop) commit() {
	err := l.journal.Commit()
	l.setWritable(err == nil)
	fresh, sends, effects := l.newMessages, l.sends, l.afterCommit
	l.newMessages, l.sends, l.afterCommit = nil, nil, nil
	if err != nil {
		slog.Debug("nothing taken on, and sent only what may be repeated", "err", err)
	}
	for _, m := range fresh {
		switch {
		case m.responses == nil: // refused
		case err != nil:
			l.metrics.CountResult(l.classIndex(m.Class), metrics.Rejected)
			respondAll(m.responses, frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: l.cfg.Policy.MaxRetryAfter})
			l.events = append(l.events, policy.Withdrawn{ID: m.ID})
		default:
			m.resubmitted = len(m.responses) > 1
			l.countPending(m)
			respondAll(m.responses, frontend.Response{Status: http.StatusAccepted})
			m.responses = nil
		}
	}
	for i := 0; i < len(sends); {
		n := i + 1
		for n < len(sends) && sends[n].call == sends[i].call {
			n++
		}
		// Without its record a later process may make an attempt again, which is harmless only in a safe class.
		safe := func(s send) bool {
			return l.cfg.Policy.Classes[l.classIndex(s.message.Class)].Effect == policy.Idempotent
		}
		// Nor is one sent that was not taken on after all.
		refused := func(s send) bool { return s.message.responses != nil }
		if err == nil || !slices.ContainsFunc(sends[i:n], func(s send) bool { return !safe(s) || refused(s) }) {
			l.startCall(sends[i:n])
		} else {
			for _, s := range sends[i:n] {
				l.completeUnsent(s, policy.NotStarted)
			}
		}
		i = n
	}
	for _, m := range fresh {
		if m.responses != nil { // not taken on after all
			l.complete(m)
		}
	}
	for _, do := range effects {
		do()
	}
	l.enqueueRecorded(err == nil)
}

// unrecordedNotification is a notice of a message whose end is to be on disk before the platform is told of it: a process after a
// kill would else go on with a message that is over.
type unrecordedNotification struct {
	notification journal.Notification
	expiresAt    instant.Time // of the message: from then on no process sends it any more
}

// enqueueRecorded posts the notices whose ends are on disk, or whose messages' time is up whether or not they are.
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

// setWritable tells the module and the operators when the journal can't be written any more, and when it can again.
func (l *loop) setWritable(ok bool) {
	if ok == (l.metrics.StorageError.Load() == nil) {
		return
	}
	var why *string
	if !ok {
		text := fmt.Sprint(l.journal.WriteError())
		why = &text
	}
	l.metrics.StorageError.Store(why)
	if ok {
		l.enqueueRecorded(true)
	}
	l.events = append(l.events, policy.StorageChanged{Writable: ok})
}
