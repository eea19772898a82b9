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

// maxJSONGrowth is the most bytes that one byte of an id or a key can take up in JSON.
const maxJSONGrowth = 6

// The counters of messages that were not accepted for other reasons than the policy's.
const (
	rejectedBeforePolicy = "relay_refused_unseen"
	// withdrawnMessages counts messages that were withdrawn before they were answered, by reason.
	withdrawnMessages = "relay_withdrawn"
)

// The reasons in the counters rejectedBeforePolicy and withdrawnMessages.
const (
	reasonNoDestination = "no such destination"
	reasonNoStorage     = "no room in the folder, or it can't be written"
	reasonNoMemory      = "no memory for another message"
	reasonClientLeft    = "the client left"
)

// admit handles a message that a client has submitted. It passes a new message to the policy, unless the message is rejected for
// an unknown destination or a lack of storage.
func (l *loop) admit(submission *frontend.Submission) {
	if msg := l.messages[submission.Entry.ID]; msg != nil {
		l.admitDuplicate(msg, submission)
		return
	}
	if ended, ok := l.ended.get(submission.Entry.ID); ok {
		answerEnded(submission, ended)
		return
	}
	// The policy keeps state for each destination, so one that no list has ever named is rejected here. Reserve keeps the
	// journal within its disk limit.
	if !l.endpoints.table.SeenDestination(submission.Entry.Dest) {
		l.rejectBeforePolicy(submission, reasonNoDestination)
		return
	}
	if !l.messageMemory.Has(messageSize(submission.Entry)) {
		l.rejectBeforePolicy(submission, reasonNoMemory)
		return
	}
	if !l.journal.Reserve(submission.Entry) {
		l.rejectBeforePolicy(submission, reasonNoStorage)
		return
	}
	slog.Debug("message arrived", "request_id", submission.Entry.ID, "destination", submission.Entry.Dest,
		"class", submission.Entry.Class, "time_left", clock.Until(submission.Entry.ExpiresAt))
	msg := &message{Entry: submission.Entry, responses: []chan frontend.Response{submission.Response}, clientLeft: submission.ClientLeft}
	l.addMessage(msg)
	l.batch.newMessages = append(l.batch.newMessages, msg)
	l.batch.events = append(l.batch.events, policy.Arrived{ID: msg.ID, Class: l.classIndex(msg.Class), Destination: msg.Dest,
		TimeLeft: clock.Until(msg.ExpiresAt), Size: sizeInBatch(msg.Entry)})
}

// admitDuplicate handles the submission of a message whose id is in the message table, as after a broken connection. While the
// message is undecided, the submission gets the same response as the first one; later it is answered as accepted, unless the
// message has ended.
func (l *loop) admitDuplicate(m *message, s *frontend.Submission) {
	switch {
	case m.ended && l.mayHaveExecuted(m): // 503 would tell the client that it can safely submit the message again
		s.Response <- frontend.Response{Status: endedStatus(m.delivered)}
	case m.ended:
		s.Response <- frontend.Response{Status: http.StatusServiceUnavailable}
	case m.responses != nil:
		m.responses = append(m.responses, s.Response)
	default:
		m.resubmitted = true
		s.Response <- frontend.Response{Status: http.StatusAccepted}
	}
}

// rejectBeforePolicy rejects a message without passing it to the policy.
func (l *loop) rejectBeforePolicy(s *frontend.Submission, reason string) {
	l.metrics.CountResult(l.classIndex(s.Entry.Class), metrics.Rejected)
	l.metrics.Reasons.Add(rejectedBeforePolicy, reason, 1)
	slog.Info("request rejected", "request_id", s.Entry.ID, "destination", s.Entry.Dest, "class", s.Entry.Class, "reason", reason)
	s.Response <- l.unavailableResponse()
}

// mayHaveExecuted reports whether an attempt of a message may have been executed and a second execution could do harm. It can in
// a class whose idempotency keys are known only within a zone, since a repeated submission may be sent to another zone.
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

// withdraw ends a message whose client disconnected without a response. Other clients may have submitted the same id, by chance
// or on purpose: the message is withdrawn only if this submission is its first and only one, since a second client may have been
// told that the message is accepted.
func (l *loop) withdraw(s *frontend.Submission) {
	m := l.messages[s.Entry.ID]
	if m == nil || m.ended || m.Entry != s.Entry || m.resubmitted || len(m.responses) > 1 {
		return
	}
	l.withdrawMessage(m)
}

// withdrawLeft withdraws the new messages whose clients have left before the policy decides on them. The handlers of such requests
// may not have noticed that yet, as when more input lies before the end of the connection.
func (l *loop) withdrawLeft() {
	for _, m := range l.batch.newMessages {
		if !m.ended && len(m.responses) == 1 && m.clientLeft != nil && m.clientLeft() {
			l.withdrawMessage(m)
		}
	}
}

// withdrawMessage ends a message whose client has left without a response. No further attempt follows. Its id is remembered if it may
// have been executed and must not be executed again.
func (l *loop) withdrawMessage(m *message) {
	l.metrics.Reasons.Add(withdrawnMessages, reasonClientLeft, 1)
	slog.Info("message withdrawn", "request_id", m.ID, "destination", m.Dest, "attempts", len(m.Attempts))
	l.batch.events = append(l.batch.events, policy.Withdrawn{ID: m.ID})
	if responses := m.responses; responses != nil { // nobody reads them, but the handler waits for one
		m.responses = nil
		respondAll(responses, l.unavailableResponse())
	}
	if !l.mayHaveExecuted(m) || !l.keepWithdrawn(m) {
		l.complete(m)
	}
}

// endedStatus returns the status of the response to a message that has ended and may have been executed: it was taken on if it was
// delivered, and otherwise 503 would tell the client that it can safely submit the message again.
func endedStatus(delivered bool) int {
	if delivered {
		return http.StatusAccepted
	}
	return http.StatusBadGateway
}

// sizeInBatch returns the most bytes that a message takes up in the body of a call with several messages.
func sizeInBatch(e *journal.Entry) int {
	return len(`{"id":"","key":"","body":""},`) + maxJSONGrowth*(len(e.ID)+len(e.Key)) + base64.StdEncoding.EncodedLen(len(e.Body))
}

// acceptNewMessages records the new messages that the policy has not rejected as accepted.
func (l *loop) acceptNewMessages() {
	for _, m := range l.batch.newMessages {
		if !m.ended {
			l.journal.Accept(m.Entry)
		}
	}
}
