package handover

import (
	"slices"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/journal"
	"milletsail/policy"
)

// Message is one line of the link, with one of its fields. Its JSON form is shared with other versions of this program.
type Message struct {
	// Step is one of the protocol's steps.
	Step string `json:"step,omitempty"`
	// Offer is the predecessor's.
	Offer *Offer `json:"offer,omitempty"`
	// Submission is a message that a client submitted to the predecessor.
	Submission *Submission `json:"arrival,omitempty"`
	// Withdrawn is the number of a submission whose client left.
	Withdrawn int `json:"left,omitempty"`
	// Answered is the number of a submission that got its response.
	Answered int `json:"answered,omitempty"`
	// CallResults are how calls of the predecessor ended.
	CallResults []CallResult `json:"ends,omitempty"`
	// Clients is how many client connections the predecessor still has.
	Clients *int `json:"clients,omitempty"`
	// Response is the successor's to a submission.
	Response *Response `json:"verdict,omitempty"`
	// Cancel is an attempt that the successor wants canceled.
	Cancel *Attempt `json:"cancel,omitempty"`
}

// Offer is what a successor has to know beside the journal.
type Offer struct {
	// InFlight are the attempts that the predecessor still waits for.
	InFlight []Attempt `json:"out"`
	// PolicyState is what the predecessor's policy has learned.
	PolicyState []policy.StateInherited `json:"learned"`
	// Clients is how many client connections the predecessor has.
	Clients int `json:"clients"`
	// JournalIncomplete says that the journal could not be written: it may name other messages beside Live, those that have
	// not ended, and lack their last attempts and ends.
	JournalIncomplete bool `json:"unwritten,omitempty"`
	// Live are the messages that have not ended, where the journal is incomplete.
	Live map[string]LiveMessage `json:"live,omitempty"`
	// Clocks translate the moments on the link, which are wall times there as earlier versions wrote and read them: the same
	// pair of readings is used at both ends, so that steps of the wall clock don't matter. An earlier version sends none.
	Clocks *clock.Pair `json:"clocks,omitempty"`
}

// LiveMessage is what a journal that could not be written may lack of a message.
type LiveMessage struct {
	// Attempts is how many there were.
	Attempts int `json:"attempts,omitempty"`
	// PendingNotification is that of the message's end.
	PendingNotification *journal.Notification `json:"owed,omitempty"`
}

// Reconcile brings what the journal has of a message in line with what the predecessor knows: attempts that it lacks may have
// been executed.
func (m LiveMessage) Reconcile(e *journal.Entry) {
	addUncertainAttempts(e, m.Attempts)
	if m.PendingNotification != nil {
		e.PendingNotification = m.PendingNotification
	}
}

// addUncertainAttempts adds attempts of which nothing is known, until there are n.
func addUncertainAttempts(e *journal.Entry, n int) {
	for len(e.Attempts) < n {
		e.Attempts = append(e.Attempts, journal.Attempt{StartedAt: e.AcceptedAt, Uncertain: true})
	}
}

// Attempt is an attempt of the predecessor that is in flight.
type Attempt struct {
	// ID is that of the message.
	ID string `json:"id"`
	// Attempt is its number, from 0.
	Attempt int `json:"attempt"`
	// Call is the policy's number of the call.
	Call int `json:"call,omitempty"`
	// Class is that of the message.
	Class string `json:"class,omitempty"`
	// Destination is that of the message.
	Destination int `json:"dest,omitempty"`
	// Endpoint is the one called.
	Endpoint string `json:"host,omitempty"`
	// StartedAt is translated by the offer's clocks.
	StartedAt time.Time `json:"begun,omitzero"`
}

// Reconcile brings what a journal has of a message's attempts in line with the one in flight. The predecessor made them all and
// knows their number: an attempt that the reading of a damaged journal has added, in case its record is missing, is none, and
// one whose record is missing is there.
func (a Attempt) Reconcile(e *journal.Entry, startedAt instant.Time) {
	n := a.Attempt + 1
	for i := len(e.Attempts) - 1; i >= 0 && len(e.Attempts) > n; i-- {
		if e.Attempts[i].Uncertain {
			e.Attempts = slices.Delete(e.Attempts, i, i+1)
		}
	}
	addUncertainAttempts(e, n)
	if len(e.Attempts) == n {
		e.Attempts[a.Attempt] = journal.Attempt{Host: a.Endpoint, StartedAt: startedAt}
	}
}

// Submission is a message that a client submitted to the predecessor after the handover.
type Submission struct {
	// Number identifies it on the link, from 1.
	Number int `json:"no"`
	// Entry is what is known of the message.
	Entry *Entry `json:"entry"`
	// Body is the message's.
	Body []byte `json:"body"`
}

// Entry is what is known of a submitted message.
type Entry struct {
	// ID is the message's.
	ID string `json:"id"`
	// Class is the message's.
	Class string `json:"class,omitempty"`
	// Destination is the message's.
	Destination int `json:"dest,omitempty"`
	// Key is the idempotency key.
	Key string `json:"key,omitempty"`
	// ExpiresAt is translated by the offer's clocks.
	ExpiresAt time.Time `json:"expires,omitzero"`
}

// Response is the successor's answer to a submission.
type Response struct {
	// Number is that of the submission.
	Number int `json:"no"`
	// Status is an HTTP status.
	Status int `json:"status"`
	// RetryAfter is when the client may come again; 0 for nothing said.
	RetryAfter time.Duration `json:"after,omitempty"`
}

// CallResult is how a call of the predecessor ended for a message.
type CallResult struct {
	// ID is that of the message.
	ID string `json:"id"`
	// Attempt is its number, from 0.
	Attempt int `json:"attempt"`
	// Endpoint is the one called.
	Endpoint string `json:"host"`
	// Latency is the time that the call took.
	Latency time.Duration `json:"took"`
	// Outcome is the call's.
	Outcome policy.Outcome `json:"outcome"`
	// RetryAfter is what the endpoint asked for.
	RetryAfter time.Duration `json:"wait,omitempty"`
	// Completed says that the message needs no further attempt.
	Completed bool `json:"over,omitempty"`
	// AttemptsExhausted says that the endpoint accepts no further attempt.
	AttemptsExhausted bool `json:"spent,omitempty"`
	// LoadReport is the endpoint's.
	LoadReport *policy.LoadReport `json:"report,omitempty"`
}
