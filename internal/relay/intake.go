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

// The counters of messages that never reached the policy, and of those that their clients withdrew, by reason.
const (
	rejectedUnseen    = "relay_refused_unseen"
	withdrawnMessages = "relay_withdrawn"
)

// The reasons for which a message never reaches the policy, as counters have them.
const (
	reasonNoDestination = "no such destination"
	reasonNoStorage     = "no room in the folder, or it can't be written"
	reasonClientLeft    = "the client left"
)

// admit takes in a message that is submitted.
func (l *loop) admit(submission *frontend.Submission) {
	if msg := l.messages[submission.Entry.ID]; msg != nil {
		l.admitAgain(msg, submission)
		return
	}
	// Guards the policy against destinations that no list has named, and the disk against overflow.
	if !l.endpoints.table.SeenDestination(submission.Entry.Dest) {
		l.rejectUnseen(submission, reasonNoDestination)
		return
	}
	if !l.journal.Reserve(submission.Entry) {
		l.rejectUnseen(submission, reasonNoStorage)
		return
	}
	slog.Debug("message arrived", "request_id", submission.Entry.ID, "destination", submission.Entry.Dest,
		"class", submission.Entry.Class, "time_left", clock.Until(submission.Entry.ExpiresAt))
	msg := &message{Entry: submission.Entry, responses: []chan frontend.Response{submission.Response}}
	l.messages[msg.ID] = msg
	l.batch.newMessages = append(l.batch.newMessages, msg)
	l.batch.events = append(l.batch.events, policy.Arrived{ID: msg.ID, Class: l.classIndex(msg.Class), Destination: msg.Dest,
		TimeLeft: clock.Until(msg.ExpiresAt), Size: sizeInBatch(msg.Entry)})
}

// admitAgain takes in the same message once more, as after a connection that broke: it is accepted already, unless it has ended
// or is undecided.
func (l *loop) admitAgain(m *message, s *frontend.Submission) {
	switch {
	case m.ended && l.mayHaveExecuted(m): // 503 would say that submitting it again is harmless
		s.Response <- frontend.Response{Status: http.StatusBadGateway}
	case m.ended:
		s.Response <- frontend.Response{Status: http.StatusServiceUnavailable}
	case m.responses != nil:
		m.responses = append(m.responses, s.Response)
	default:
		m.resubmitted = true
		s.Response <- frontend.Response{Status: http.StatusAccepted}
	}
}

// rejectUnseen rejects a message that the policy does not see.
func (l *loop) rejectUnseen(s *frontend.Submission, reason string) {
	l.metrics.CountResult(l.classIndex(s.Entry.Class), metrics.Rejected)
	l.metrics.Reasons.Add(rejectedUnseen, reason, 1)
	slog.Info("request rejected", "request_id", s.Entry.ID, "destination", s.Entry.Dest, "class", s.Entry.Class, "reason", reason)
	s.Response <- l.unavailable()
}

// mayHaveExecuted reports whether an attempt of a message may have been executed that must not be repeated elsewhere.
func (l *loop) mayHaveExecuted(m *message) bool {
	index := l.classIndex(m.Class)
	if index < 0 {
		return false
	}
	class := l.cfg.Policy.Classes[index]
	if class.Effect == policy.Idempotent || class.Effect == policy.IdempotentWithKey && !class.KeysPerZone {
		return false
	}
	return slices.ContainsFunc(m.Attempts, func(a journal.Attempt) bool { return !a.Ended || !a.NotExecuted })
}

// withdraw ends a message whose client left without a response. Others may have submitted the same id, by chance or on purpose:
// their leaving withdraws nothing, and what one of them was told has to be done.
func (l *loop) withdraw(s *frontend.Submission) {
	m := l.messages[s.Entry.ID]
	if m == nil || m.ended || m.Entry != s.Entry || m.resubmitted || len(m.responses) > 1 {
		return
	}
	l.metrics.Reasons.Add(withdrawnMessages, reasonClientLeft, 1)
	slog.Info("message withdrawn", "request_id", m.ID, "destination", m.Dest, "attempts", len(m.Attempts))
	l.batch.events = append(l.batch.events, policy.Withdrawn{ID: m.ID})
	l.complete(m)
}

// sizeInBatch returns how many bytes a message takes up in the body of a call with several.
func sizeInBatch(e *journal.Entry) int {
	return len(`{"id":"","key":"","body":""},`) + maxJSONGrowth*(len(e.ID)+len(e.Key)) + base64.StdEncoding.EncodedLen(len(e.Body))
}

// acceptNewMessages accepts the messages of this batch that were not rejected.
func (l *loop) acceptNewMessages() {
	for _, m := range l.batch.newMessages {
		if !m.ended {
			l.journal.Accept(m.Entry)
		}
	}
}
