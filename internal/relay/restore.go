package relay

import (
	"context"
	"log/slog"
	"slices"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/handover"
	"milletsail/internal/relay/notifier"
	"milletsail/policy"
)

// restore passes the state of an earlier process to the policy: the endpoint list, the operators' zone orders, the messages in the
// journal and, after a handover, the predecessor's calls in flight and policy state. If there was no handover, link and offer are
// nil. It runs before the loop.
func (l *loop) restore(ctx context.Context, link *handover.Link, offer *handover.Offer) {
	l.restoreState(ctx, link, offer)
	l.step(ctx)
}

// restoreState adds the state of an earlier process to the batch, for the first step that sends messages.
func (l *loop) restoreState(ctx context.Context, link *handover.Link, offer *handover.Offer) {
	l.announceEndpoints()
	if l.zones != nil && len(l.zones.pending) > 0 {
		l.step(ctx) // resumes zone orders before any message is sent
	}
	l.watcher.Version = l.endpoints.version
	inFlight := map[string]handover.Attempt{}
	restored := restoreSummary{maxAttempts: l.cfg.Policy.MaxAttempts}
	if offer != nil {
		for _, attempt := range offer.InFlight {
			inFlight[attempt.ID] = attempt
		}
		for _, state := range offer.PolicyState {
			l.batch.events = append(l.batch.events, state.Translate(link.DecodeInstant))
		}
		l.clients.Reserve(offer.Clients)
		l.restoreEnded(link, offer.Ended)
	}
	for _, entry := range l.journal.Entries() {
		if offer != nil && offer.JournalIncomplete {
			live, ok := offer.Live[entry.ID]
			if !ok { // the message has ended, but the predecessor could not record that
				l.journal.Complete(entry)
				continue
			}
			live.Reconcile(entry, link.Instant)
			l.journal.RequireSnapshot()
		}
		restored.add(entry, inFlight)
		l.restoreMessage(link, entry, inFlight)
	}
	restored.log()
	for _, attempt := range inFlight {
		l.restoreEndedInFlight(link, attempt)
	}
}

// restoreSummary counts what a process finds in the journal of an earlier one, for its log: without these figures nobody can tell from
// outside whether the two processes agree about the attempts of a message.
type restoreSummary struct {
	maxAttempts int
	messages    int // live messages
	untried     int // messages without an attempt that may have been executed
	exhausted   int // messages with as many attempts as the policy allows
	inFlight    int // messages with a call in flight in the predecessor
	disagreeing int // of these, the ones for which the journal holds another number of attempts than the predecessor offers
}

// add counts a message. inFlight are the attempts that the predecessor offers, by message.
func (s *restoreSummary) add(entry *journal.Entry, inFlight map[string]handover.Attempt) {
	s.messages++
	mayHaveExecuted := func(a journal.Attempt) bool { return !a.Ended || !a.NotExecuted }
	if !slices.ContainsFunc(entry.Attempts, mayHaveExecuted) {
		s.untried++
	}
	if len(entry.Attempts) >= s.maxAttempts {
		s.exhausted++
	}
	offered, ok := inFlight[entry.ID]
	if !ok {
		return
	}
	s.inFlight++
	if recorded := len(entry.Attempts); recorded != offered.Attempt+1 {
		s.disagreeing++
		slog.Warn("journal and predecessor disagree about a message", "request_id", entry.ID, "attempts_recorded", recorded,
			"attempts_offered", offered.Attempt+1)
	}
}

// log logs the counts, unless there were no messages.
func (s *restoreSummary) log() {
	if s.messages == 0 {
		return
	}
	slog.Info("messages restored", "messages", s.messages, "untried", s.untried, "attempts_exhausted", s.exhausted,
		"calls_in_flight", s.inFlight, "disagreeing", s.disagreeing)
}

// restoreMessage restores a message from its journal entry. If its last attempt is in inFlight, the attempt is removed there.
func (l *loop) restoreMessage(link *handover.Link, entry *journal.Entry, inFlight map[string]handover.Attempt) {
	msg := &message{Entry: entry}
	l.addMessage(msg)
	l.countPending(msg)
	attempt, hasAttempt := inFlight[entry.ID]
	recorded := slices.Clone(entry.Attempts)
	if hasAttempt {
		attempt.Reconcile(entry, link.Instant(attempt.StartedAt))
	} else if entry.PendingNotification == nil {
		entry.Attempts = handover.TrimAttempts(entry.Attempts, l.maxLiveAttempts(entry))
	}
	if !slices.Equal(recorded, entry.Attempts) {
		l.journal.RequireSnapshot()
	}
	if entry.PendingNotification != nil {
		msg.ended = true
		l.countEnded(msg)
		l.notifier.Enqueue(*entry.PendingNotification)
		return // an attempt in flight stays in inFlight, for restoreEndedInFlight
	}
	class := l.classIndex(entry.Class)
	if class < 0 { // the settings no longer have this class, so the policy can't handle the message
		l.endUndelivered(msg, frontend.Response{}, notifier.StatusUndeliverable, policy.ReasonNone)
		return
	}
	// The time left is limited to the class's deadline, even if the journal holds a later expiry.
	arrived := policy.Arrived{ID: entry.ID, Class: class, Destination: entry.Dest, Resumed: true,
		TimeLeft: min(clock.Until(entry.ExpiresAt), l.cfg.Policy.Classes[class].Deadline), Size: sizeInBatch(entry)}
	for _, prior := range entry.Attempts {
		// An attempt that was in flight when the process ended may have been executed.
		arrived.PriorAttempts = append(arrived.PriorAttempts, policy.PriorAttempt{Endpoint: prior.Host,
			SentAt: min(prior.StartedAt, clock.Now()), NotExecuted: prior.Ended && prior.NotExecuted,
			Interrupted: !prior.Ended})
	}
	if hasAttempt {
		delete(inFlight, entry.ID)
		l.resumeInFlight(link, msg, attempt, &arrived)
	}
	l.batch.events = append(l.batch.events, arrived)
}

// maxLiveAttempts returns the most attempts that a message without a call in flight and without a pending notification can have: one
// whose last attempt ended has another one left, since its end would have been recorded together with that of its last attempt. More
// of them show that an earlier version has recorded attempts that could not be started.
func (l *loop) maxLiveAttempts(entry *journal.Entry) int {
	if n := len(entry.Attempts); n > 0 && entry.Attempts[n-1].Ended {
		return l.cfg.Policy.MaxAttempts - 1
	}
	return l.cfg.Policy.MaxAttempts
}

// restoreEndedInFlight passes the policy an attempt in flight of a message that has ended, since the attempt occupies a slot
// until its call ends.
func (l *loop) restoreEndedInFlight(link *handover.Link, a handover.Attempt) {
	m := l.messages[a.ID]
	if m == nil {
		m = &message{ended: true, Entry: &journal.Entry{ID: a.ID, Class: a.Class, Dest: a.Destination}}
		a.Reconcile(m.Entry, link.Instant(a.StartedAt))
		l.addMessage(m)
	}
	prior := policy.PriorAttempt{Endpoint: a.Endpoint, SentAt: link.Instant(a.StartedAt)}
	arrived := policy.Arrived{ID: a.ID, Class: l.classIndex(a.Class), Destination: a.Destination, Resumed: true, Completed: true,
		PriorAttempts: slices.Repeat([]policy.PriorAttempt{prior}, a.Attempt+1)}
	l.resumeInFlight(link, m, a, &arrived)
	l.batch.events = append(l.batch.events, arrived)
}

// resumeInFlight marks the last attempt of a message as in flight in the predecessor. Canceling it sends the predecessor a request
// to cancel the call.
func (l *loop) resumeInFlight(link *handover.Link, m *message, a handover.Attempt, arrived *policy.Arrived) {
	last := &arrived.PriorAttempts[a.Attempt]
	last.InFlight, last.Interrupted, last.Call = true, false, a.Call
	m.call, m.attempt, m.begun = a.Call, a.Attempt, true
	m.cancel = func() { link.Send(handover.Message{Cancel: &handover.Attempt{ID: a.ID, Attempt: a.Attempt}}) }
}
