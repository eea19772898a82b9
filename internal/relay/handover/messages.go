package handover

import (
	"slices"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/journal"
	"milletsail/policy"
)

// Message is one line of the link in JSON. Exactly one of its fields is set. Earlier and later versions of this program read and
// write the same JSON, so the names of the fields there must not change.
type Message struct {
	// Step is a step of the protocol other than the offer: stepRequest, stepReady or stepTransfer.
	Step string `json:"step,omitempty"`
	// Offer is the predecessor's offer.
	Offer *Offer `json:"offer,omitempty"`
	// Submission is a message that a client submitted to the predecessor, which forwards it to the successor.
	Submission *Submission `json:"arrival,omitempty"`
	// Withdrawn is the number of a submission whose client disconnected before it got a response.
	Withdrawn int `json:"left,omitempty"`
	// Answered is the number of a submission whose response the predecessor passed to the client.
	Answered int `json:"answered,omitempty"`
	// CallResults are the results of calls that the predecessor had in flight at the handover, one per message.
	CallResults []CallResult `json:"ends,omitempty"`
	// Clients is the number of client connections that are still open in the predecessor.
	Clients *int `json:"clients,omitempty"`
	// Response is the successor's response to a submission.
	Response *Response `json:"verdict,omitempty"`
	// Cancel is an attempt in flight that the predecessor has to cancel.
	Cancel *Attempt `json:"cancel,omitempty"`
}

// Offer is the state of the predecessor that a successor needs in addition to the journal.
type Offer struct {
	// InFlight are the attempts whose calls have not ended.
	InFlight []Attempt `json:"out"`
	// PolicyState is what the predecessor's policy has learned about endpoints and destinations. Times are converted by Clocks.
	PolicyState []policy.StateInherited `json:"learned"`
	// Clients is the number of client connections that are open in the predecessor.
	Clients int `json:"clients"`
	// JournalIncomplete reports that writes to the journal failed: the last attempts and the ends of messages may be missing
	// there, and it may hold messages that have ended. The messages that have not ended are then those in Live.
	JournalIncomplete bool `json:"unwritten,omitempty"`
	// Live holds the messages that have not ended, by id. It is set only if JournalIncomplete is.
	Live map[string]LiveMessage `json:"live,omitempty"`
	// Ended are messages that have ended and must not be executed again if their clients submit them again.
	Ended []EndedMessage `json:"ended,omitempty"`
	// Clocks convert between local times and the wall times on the link, which is the form that earlier versions use. Both
	// processes convert with this pair of readings, so that steps of the wall clock have no effect. Nil if the predecessor is of
	// a version that does not send it.
	Clocks *clock.Pair `json:"clocks,omitempty"`
}

// EndedMessage is a message that has ended and may have been executed.
type EndedMessage struct {
	// ID is the id of the message.
	ID string `json:"id"`
	// Until is the wall time until which the id is remembered, converted by Offer.Clocks.
	Until time.Time `json:"until"`
	// Delivered reports that the message was delivered.
	Delivered bool `json:"delivered,omitempty"`
}

// LiveMessage is the part of a message's state that may be missing from an incomplete journal.
type LiveMessage struct {
	// Attempts is the number of attempts that were started.
	Attempts int `json:"attempts,omitempty"`
	// History describes these attempts, in their order. Nil if the predecessor is of a version that does not send it.
	History []PastAttempt `json:"made,omitempty"`
	// PendingNotification is the notification of the message's end that has not been delivered; nil for none.
	PendingNotification *journal.Notification `json:"owed,omitempty"`
}

// PastAttempt describes an attempt of a message as the predecessor knows it.
type PastAttempt struct {
	// Endpoint is the name of the endpoint that was called.
	Endpoint string `json:"host,omitempty"`
	// StartedAt is the wall time at which the attempt started, converted by Offer.Clocks.
	StartedAt time.Time `json:"begun,omitzero"`
	// Ended reports that the result is known.
	Ended bool `json:"ended,omitempty"`
	// NotExecuted reports that the result proves that the endpoint did not execute the message.
	NotExecuted bool `json:"unrun,omitempty"`
	// Uncertain reports that the attempt may never have been made.
	Uncertain bool `json:"unsure,omitempty"`
}

// NewLiveMessage describes a message that has not ended, whose times wallTime converts.
func NewLiveMessage(e *journal.Entry, wallTime func(instant.Time) time.Time) LiveMessage {
	live := LiveMessage{Attempts: len(e.Attempts), PendingNotification: e.PendingNotification}
	for _, a := range e.Attempts {
		live.History = append(live.History, PastAttempt{Endpoint: a.Host, StartedAt: wallTime(a.StartedAt), Ended: a.Ended,
			NotExecuted: a.NotExecuted, Uncertain: a.Uncertain})
	}
	return live
}

// Reconcile updates a message's journal entry to the state that the predecessor reported, whose times toInstant converts. Without
// a History only the number of attempts is known: those that are missing from the entry are added as uncertain, because an
// endpoint may have executed them.
func (m LiveMessage) Reconcile(e *journal.Entry, toInstant func(time.Time) instant.Time) {
	if len(m.History) == m.Attempts {
		e.Attempts = nil
		for _, a := range m.History {
			e.Attempts = append(e.Attempts, journal.Attempt{Host: a.Endpoint, StartedAt: toInstant(a.StartedAt), Ended: a.Ended,
				NotExecuted: a.NotExecuted, Uncertain: a.Uncertain})
		}
	} else {
		e.Attempts = fitAttempts(e.Attempts, m.Attempts, e.AcceptedAt)
	}
	if m.PendingNotification != nil {
		e.PendingNotification = m.PendingNotification
	}
}

// fitAttempts returns the attempts of a message that was accepted at a time, changed to n, the number that were made. Missing ones are
// added with an unknown endpoint and outcome.
func fitAttempts(attempts []journal.Attempt, n int, acceptedAt instant.Time) []journal.Attempt {
	fitted := TrimAttempts(attempts, n)
	for len(fitted) < n {
		fitted = append(fitted, journal.Attempt{StartedAt: acceptedAt, Uncertain: true})
	}
	return fitted[:n]
}

// TrimAttempts returns the attempts without those that were never made, as far as that can be told, where more than n are recorded.
// These are uncertain ones, which stand for records that may be lost, and then ones that were not executed: earlier versions
// recorded attempts that could not be started.
func TrimAttempts(attempts []journal.Attempt, n int) []journal.Attempt {
	trimmed := slices.Clone(attempts)
	uncertain := func(a journal.Attempt) bool { return a.Uncertain }
	notExecuted := func(a journal.Attempt) bool { return a.Ended && a.NotExecuted }
	for _, removable := range []func(journal.Attempt) bool{uncertain, notExecuted} {
		for i := len(trimmed) - 1; i >= 0 && len(trimmed) > n; i-- {
			if removable(trimmed[i]) {
				trimmed = slices.Delete(trimmed, i, i+1)
			}
		}
	}
	return trimmed
}

// Attempt describes an attempt at delivering a message whose call is in flight in the predecessor.
type Attempt struct {
	// ID is the id of the message.
	ID string `json:"id"`
	// Attempt is the number of the attempt among those of the message, from 0.
	Attempt int `json:"attempt"`
	// Call is the number that the policy gave to the call.
	Call int `json:"call,omitempty"`
	// Class is the message's class.
	Class string `json:"class,omitempty"`
	// Destination is the number of the message's destination.
	Destination int `json:"dest,omitempty"`
	// Endpoint is the name of the endpoint that was called.
	Endpoint string `json:"host,omitempty"`
	// StartedAt is the wall time at which the attempt started, converted by Offer.Clocks.
	StartedAt time.Time `json:"begun,omitzero"`
}

// Reconcile updates the attempts in a message's journal entry to the attempt in flight, whose number the predecessor knows for
// certain. The reader of a damaged journal adds an uncertain attempt in case a record was lost, and a predecessor of an earlier
// version has recorded attempts that it does not count. The attempt in flight is the last one afterwards.
func (a Attempt) Reconcile(e *journal.Entry, startedAt instant.Time) {
	earlier := slices.Clone(e.Attempts)
	for i := len(earlier) - 1; i >= 0; i-- { // its own record, unless that is lost
		if own := earlier[i]; own.Host == a.Endpoint && !own.Ended && !own.Uncertain {
			earlier = slices.Delete(earlier, i, i+1)
			break
		}
	}
	earlier = fitAttempts(earlier, max(0, a.Attempt), e.AcceptedAt)
	e.Attempts = append(earlier, journal.Attempt{Host: a.Endpoint, StartedAt: startedAt})
}

// Submission is a message that a client submitted to the predecessor after the handover. The successor decides on it.
type Submission struct {
	// Number identifies the submission on the link, from 1.
	Number int `json:"no"`
	// Entry describes the message.
	Entry *Entry `json:"entry"`
	// Body is the body of the message.
	Body []byte `json:"body"`
}

// Entry describes a submitted message without its body.
type Entry struct {
	// ID is the id of the message.
	ID string `json:"id"`
	// Class is the message's class.
	Class string `json:"class,omitempty"`
	// Destination is the number of the message's destination.
	Destination int `json:"dest,omitempty"`
	// Key is the message's idempotency key; empty for none.
	Key string `json:"key,omitempty"`
	// ExpiresAt is the message's deadline as a wall time, converted by Offer.Clocks.
	ExpiresAt time.Time `json:"expires,omitzero"`
}

// Response is the successor's answer to a submission.
type Response struct {
	// Number is the number of the submission.
	Number int `json:"no"`
	// Status is the HTTP status for the client.
	Status int `json:"status"`
	// RetryAfter is how long the client is asked to wait before it retries; 0 to send no Retry-After.
	RetryAfter time.Duration `json:"after,omitempty"`
}

// CallResult is the result of a call by the predecessor for one of the call's messages.
type CallResult struct {
	// ID is the id of the message.
	ID string `json:"id"`
	// Attempt is the number of the attempt among those of the message, from 0.
	Attempt int `json:"attempt"`
	// Endpoint is the name of the endpoint that was called.
	Endpoint string `json:"host"`
	// Latency is the duration of the call.
	Latency time.Duration `json:"took"`
	// Outcome is the outcome of the call for the message.
	Outcome policy.Outcome `json:"outcome"`
	// RetryAfter is the wait that the endpoint asked for; 0 for none.
	RetryAfter time.Duration `json:"wait,omitempty"`
	// Completed reports that the message needs no further attempt.
	Completed bool `json:"over,omitempty"`
	// AttemptsExhausted reports that the endpoint accepts no further attempt for the message.
	AttemptsExhausted bool `json:"spent,omitempty"`
	// LoadReport is the load that the endpoint reported with its answer; nil for none.
	LoadReport *policy.LoadReport `json:"report,omitempty"`
}
