package relay

import (
	"slices"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/handover"
	"milletsail/internal/relay/notifier"
	"milletsail/policy"
)

// restore takes up what the journal holds, the list of endpoints, and what the process before has out, where that one
// handed over.
func (l *loop) restore(k *handover.Link, off *handover.Offer) {
	l.announceEndpoints()
	if l.zones != nil && len(l.zones.pending) > 0 {
		l.step() // an order goes on before anything is sent
	}
	l.watcher.Version = l.endpoints.version
	out := map[string]handover.Attempt{}
	if off != nil {
		for _, a := range off.InFlight {
			out[a.ID] = a
		}
		for _, learned := range off.PolicyState {
			l.events = append(l.events, learned.Translate(k.DecodeInstant))
		}
		l.clients.Reserve(off.Clients)
	}
	for _, e := range l.journal.Entries() {
		if off != nil && off.JournalIncomplete {
			live, ok := off.Live[e.ID]
			if !ok { // its end could not be written
				l.journal.Complete(e)
				continue
			}
			live.Reconcile(e)
		}
		m := &message{Entry: e}
		l.messages[e.ID] = m
		l.countPending(m)
		if o, ok := out[e.ID]; ok {
			o.Reconcile(e, k.Instant(o.StartedAt))
		}
		if e.PendingNotification != nil {
			m.ended = true
			l.countEnded(m)
			l.notifier.Enqueue(*e.PendingNotification)
			continue // a call of it that is still out follows below
		}
		class := l.classIndex(e.Class)
		if class < 0 { // the settings have changed, and the module could not end it
			l.endUndelivered(m, frontend.Response{}, notifier.StatusUndeliverable, policy.ReasonNone)
			continue
		}
		// Whatever the folder says, no message has more time than its class.
		a := policy.Arrived{ID: e.ID, Class: class, Destination: e.Dest, Resumed: true,
			TimeLeft: min(clock.Until(e.ExpiresAt), l.cfg.Policy.Classes[class].Deadline), Size: sizeInBatch(e)}
		for _, t := range e.Attempts {
			// An attempt that was out when the process ended may have run.
			a.PriorAttempts = append(a.PriorAttempts, policy.PriorAttempt{Endpoint: t.Host, SentAt: min(t.StartedAt, clock.Now()), NotExecuted: t.Ended && t.NotExecuted})
		}
		if o, ok := out[e.ID]; ok && o.Attempt == len(e.Attempts)-1 {
			delete(out, e.ID)
			l.rejoin(k, m, o, &a)
		}
		l.events = append(l.events, a)
	}
	for _, o := range out { // their messages are over, but they hold slots
		m := l.messages[o.ID]
		if m == nil {
			m = &message{Entry: &journal.Entry{ID: o.ID, Class: o.Class, Dest: o.Destination, Attempts: make([]journal.Attempt, o.Attempt+1)}, ended: true}
			l.messages[o.ID] = m
		}
		a := policy.Arrived{ID: o.ID, Class: l.classIndex(o.Class), Destination: o.Destination, Resumed: true, Completed: true,
			PriorAttempts: slices.Repeat([]policy.PriorAttempt{{Endpoint: o.Endpoint, SentAt: k.Instant(o.StartedAt)}}, o.Attempt+1)}
		l.rejoin(k, m, o, &a)
		l.events = append(l.events, a)
	}
	l.step()
}

// rejoin marks the last attempt of a message as still out in the process before.
func (l *loop) rejoin(k *handover.Link, m *message, o handover.Attempt, a *policy.Arrived) {
	last := &a.PriorAttempts[o.Attempt]
	last.InFlight, last.Call = true, o.Call
	m.call = o.Call
	m.cancel = func() { k.Send(handover.Message{Cancel: &handover.Attempt{ID: o.ID, Attempt: o.Attempt}}) }
}
