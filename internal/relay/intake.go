package relay

import (
	"encoding/base64"
	"log/slog"
	"net/http"
	"slices"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/metrics"
	"milletsail/policy"
)

// maxJSONGrowth is how much longer a byte of an id or a key can become in JSON.
const maxJSONGrowth = 6

// admit takes in a message that is handed in.
func (l *loop) admit(a *frontend.Submission) {
	if m := l.messages[a.Entry.ID]; m != nil {
		// The same message once more, as after a connection that broke: it is ours already, unless it is over or
		// still undecided.
		switch {
		case m.ended && l.mayHaveExecuted(m): // 503 would say that handing it in again is harmless
			a.Response <- frontend.Response{Status: http.StatusBadGateway}
		case m.ended:
			a.Response <- frontend.Response{Status: http.StatusServiceUnavailable}
		case m.responses != nil:
			m.responses = append(m.responses, a.Response)
		default:
			m.resubmitted = true
			a.Response <- frontend.Response{Status: http.StatusAccepted}
		}
		return
	}
	if !l.endpoints.table.Named(a.Entry.Dest) || !l.journal.Reserve(a.Entry) {
		// Guards the module against destinations that no list has named, and the disk against overflow.
		l.metrics.CountResult(l.classIndex(a.Entry.Class), metrics.Rejected)
		why := "no such destination"
		if l.endpoints.table.Named(a.Entry.Dest) {
			why = "no room in the folder, or it can't be written"
		}
		l.metrics.Reasons.Add("relay_refused_unseen", why, 1)
		slog.Info("refused", "id", a.Entry.ID, "dest", a.Entry.Dest, "class", a.Entry.Class, "why", why)
		a.Response <- frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: l.cfg.Policy.MaxRetryAfter}
		return
	}
	slog.Debug("arrived", "id", a.Entry.ID, "dest", a.Entry.Dest, "class", a.Entry.Class, "left", clock.Until(a.Entry.ExpiresAt))
	m := &message{Entry: a.Entry, responses: []chan frontend.Response{a.Response}}
	l.messages[m.ID] = m
	l.newMessages = append(l.newMessages, m)
	l.events = append(l.events, policy.Arrived{ID: m.ID, Class: l.classIndex(m.Class), Destination: m.Dest,
		TimeLeft: clock.Until(m.ExpiresAt), Size: sizeInBatch(m.Entry)})
}

// mayHaveExecuted tells whether an attempt of a message may have run that must not be made again elsewhere.
func (l *loop) mayHaveExecuted(m *message) bool {
	no := l.classIndex(m.Class)
	if no < 0 {
		return false
	}
	class := l.cfg.Policy.Classes[no]
	if class.Effect == policy.Idempotent || class.Effect == policy.IdempotentWithKey && !class.KeysPerZone {
		return false
	}
	return slices.ContainsFunc(m.Attempts, func(a journal.Attempt) bool { return !a.Ended || !a.NotExecuted })
}

// withdraw withdraws a message whose client left without an answer. Others may have handed in the same id, by
// chance or on purpose: their leaving takes back nothing, and what one of them was told is owed to it.
func (l *loop) withdraw(a *frontend.Submission) {
	m := l.messages[a.Entry.ID]
	if m == nil || m.ended || m.Entry != a.Entry || m.resubmitted || len(m.responses) > 1 {
		return
	}
	l.metrics.Reasons.Add("relay_withdrawn", "the client left", 1)
	slog.Info("withdrawn", "id", m.ID, "dest", m.Dest, "attempts", len(m.Attempts))
	l.events = append(l.events, policy.Withdrawn{ID: m.ID})
	l.complete(m)
}

// sizeInBatch is the room that a message takes up in the body of a call with several.
func sizeInBatch(e *journal.Entry) int {
	return len(`{"id":"","key":"","body":""},`) + maxJSONGrowth*(len(e.ID)+len(e.Key)) + base64.StdEncoding.EncodedLen(len(e.Body))
}

// acceptNewMessages takes on the arrivals of this batch that were not refused.
func (l *loop) acceptNewMessages() {
	for _, m := range l.newMessages {
		if !m.ended {
			l.journal.Accept(m.Entry)
		}
	}
}
