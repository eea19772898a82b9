package relay

import (
	"context"
	"log/slog"
	"net/http"

	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/handover"
)

// ownership is the state of this process with regard to the state directory. It only changes in the order of the constants.
type ownership int

const (
	// ownershipActive means that this process owns the state directory and makes all decisions.
	ownershipActive ownership = iota
	// ownershipTransferred means that a successor owns the state directory and makes the decisions. This process still has
	// client connections, whose messages it forwards, and calls in flight.
	ownershipTransferred
	// ownershipOrphaned means that the successor has died. This process has canceled its calls and rejects new messages.
	ownershipOrphaned
)

// handoverState is what the event loop knows of a handover to its successor.
type handoverState struct {
	ownership ownership
	requester *handover.Link // successor whose request is answered after the current batch; nil for none
	successor *handover.Link // successor that owns the state directory; nil before a handover
	// completed is closed after a successor has taken over the state directory.
	completed chan struct{}
	// stopOwnerTasks stops the goroutines that only the owner of the state directory runs.
	stopOwnerTasks       func()
	forwarded            map[int]*frontend.Submission // submissions that await the successor's decision, by number
	lastSubmissionNumber int                          // number of the last forwarded submission; the first is 1
	reportedClients      int                          // number of client connections last reported to the successor
}

// ownsState reports whether this process owns the state directory.
func (s *handoverState) ownsState() bool { return s.ownership == ownershipActive }

// handOver hands the state directory and all decisions over to a successor. It reports false, with the ownership unchanged, if
// the successor does not become ready. It blocks the loop, since the offer has to match the journal until the successor has both.
func (l *loop) handOver(ctx context.Context, link *handover.Link) bool {
	for l.step(ctx); len(l.batch.events) > 0; {
		l.step(ctx)
	}
	offer := l.makeOffer(link)
	if err := link.Offer(offer); err != nil {
		slog.Warn("handover failed", "error", err)
		link.Close()
		return false
	}
	_ = l.journal.Close()
	l.endpoints.close()
	l.owner.Release()
	if err := link.Transfer(); err != nil {
		slog.Warn("handover: transfer not sent", "error", err)
	}
	slog.Info("handover completed", "calls_in_flight", len(offer.InFlight), "clients", offer.Clients)
	l.handover.ownership, l.handover.successor, l.handover.forwarded = ownershipTransferred, link, map[int]*frontend.Submission{}
	go link.Write()
	go l.receiveFromSuccessor(link)
	return true
}

// makeOffer returns the state that the successor needs in addition to the journal.
func (l *loop) makeOffer(link *handover.Link) *handover.Offer {
	offer := &handover.Offer{Clients: l.clients.Count(), Clocks: link.ReadClocks()}
	offer.Ended = l.offerEnded(link)
	for _, state := range l.dispatcher.ExportState() {
		offer.PolicyState = append(offer.PolicyState, state.Translate(link.EncodeInstant))
	}
	if l.journal.WriteError() != nil {
		offer.JournalIncomplete, offer.Live = true, map[string]handover.LiveMessage{}
		for _, e := range l.journal.Entries() {
			offer.Live[e.ID] = handover.NewLiveMessage(e, link.WallTime)
		}
	}
	for _, m := range l.messages {
		if m.begun {
			last := m.Attempts[m.attempt]
			offer.InFlight = append(offer.InFlight, handover.Attempt{ID: m.ID, Attempt: m.attempt, Call: m.call,
				Class: m.Class, Destination: m.Dest, Endpoint: last.Host, StartedAt: link.WallTime(last.StartedAt)})
		}
	}
	return offer
}

// receiveFromSuccessor enqueues the successor's messages until the link is closed. It runs in a goroutine of its own, which the
// loop starts; the process exits without waiting for it.
func (l *loop) receiveFromSuccessor(link *handover.Link) {
	for {
		m, err := link.Receive()
		if err != nil {
			link.Close()
			l.enqueue(successorLost{})
			return
		}
		l.enqueue(successorMessage{m})
	}
}

// handleAfterHandover processes an event after a handover, when the successor makes the decisions. It also reports a changed
// number of client connections to the successor.
func (l *loop) handleAfterHandover(e event) {
	switch e := e.(type) {
	case messageArrived:
		l.forward(e.Submission)
	case clientLeft:
		l.withdrawForwarded(e.Submission)
	case callEnded:
		l.forwardResults(e)
	case callConnected:
		e.call.begin <- false // the successor has its messages and sends them
	case successorMessage:
		l.handleSuccessorMessage(e.Message)
	case successorLost:
		l.endOrphaned()
	case idleQuery:
		e.idle <- l.idleAfterHandover()
	case adminCommand:
		e.reply <- "ERR a newer process has taken over"
	case successorRequested:
		e.link.Close()
	}
	if n := l.clients.Count(); n != l.handover.reportedClients {
		l.handover.reportedClients = n
		l.handover.successor.Send(handover.Message{Clients: &n})
	}
}

// forward sends a message that a client submitted to this process to the successor, or rejects it if the successor has died.
func (l *loop) forward(s *frontend.Submission) {
	l.handover.lastSubmissionNumber++
	if s.ClientLeft() {
		s.Response <- l.unavailableResponse()
		return
	}
	if l.handover.ownership == ownershipOrphaned {
		s.Response <- l.unavailableResponse()
		return
	}
	l.handover.forwarded[l.handover.lastSubmissionNumber] = s
	e := s.Entry
	l.handover.successor.Send(handover.Message{Submission: &handover.Submission{Number: l.handover.lastSubmissionNumber,
		Body: e.Body, Entry: &handover.Entry{ID: e.ID, Class: e.Class, Destination: e.Dest, Key: e.Key,
			ExpiresAt: l.handover.successor.WallTime(e.ExpiresAt)}}})
}

// withdrawForwarded reports to the successor that the client of a forwarded message has disconnected.
func (l *loop) withdrawForwarded(s *frontend.Submission) {
	for number, forwarded := range l.handover.forwarded {
		if forwarded == s {
			delete(l.handover.forwarded, number)
			l.handover.successor.Send(handover.Message{Withdrawn: number})
		}
	}
}

// forwardResults sends the successor the result of a call that was in flight at the handover.
func (l *loop) forwardResults(e callEnded) {
	var results []handover.CallResult
	for _, a := range e {
		m := l.inFlight(a.id, a.attempt)
		if m == nil {
			continue
		}
		m.cancel, m.begun = nil, false
		results = append(results, handover.CallResult{ID: a.id, Attempt: a.attempt, Endpoint: a.endpoint, Latency: a.latency,
			Outcome: a.Outcome, RetryAfter: a.RetryAfter, Completed: a.Completed, AttemptsExhausted: a.AttemptsExhausted,
			LoadReport: a.LoadReport})
	}
	if len(results) > 0 {
		l.handover.successor.Send(handover.Message{CallResults: results})
	}
}

// handleSuccessorMessage answers the client of a forwarded submission, or cancels a call, as the successor's message asks.
func (l *loop) handleSuccessorMessage(m handover.Message) {
	if r := m.Response; r != nil && l.handover.forwarded[r.Number] != nil {
		l.handover.forwarded[r.Number].Response <- frontend.Response{Status: r.Status, RetryAfter: r.RetryAfter}
		delete(l.handover.forwarded, r.Number)
		l.handover.successor.Send(handover.Message{Answered: r.Number})
	}
	if c := m.Cancel; c != nil {
		if m := l.inFlight(c.ID, c.Attempt); m != nil {
			m.cancel()
		}
	}
}

// endOrphaned rejects the forwarded submissions and cancels the calls in flight after the successor has died. No process would
// get the results of the calls, and the next process may repeat them: they are canceled so that none runs beside its repetition.
func (l *loop) endOrphaned() {
	l.handover.ownership = ownershipOrphaned
	for number, s := range l.handover.forwarded {
		delete(l.handover.forwarded, number)
		s.Response <- l.unavailableResponse()
	}
	for _, m := range l.messages {
		if m.cancel != nil {
			m.cancel()
		}
	}
}

// idleAfterHandover reports whether no submission awaits the successor's decision and no call is in flight. Canceled calls of an
// orphaned process don't count. Client connections may still be open.
func (l *loop) idleAfterHandover() bool {
	if len(l.handover.forwarded) > 0 {
		return false
	}
	for _, m := range l.messages {
		if m.cancel != nil && l.handover.ownership != ownershipOrphaned {
			return false
		}
	}
	return true
}

// unavailableResponse returns the response to a message that no process can accept now.
func (l *loop) unavailableResponse() frontend.Response {
	return frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: l.cfg.Policy.MaxRetryAfter}
}

// inFlight returns the message with an id if the attempt with this number, from 0, has a call that has not ended; otherwise nil.
func (l *loop) inFlight(id string, attempt int) *message {
	if m := l.messages[id]; m != nil && m.cancel != nil && attempt == m.attempt {
		return m
	}
	return nil
}
