package relay

import (
	"context"
	"log/slog"
	"net/http"

	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/handover"
	"milletsail/policy"
)

// ownership is a process's relation to the state directory. It only advances.
type ownership int

const (
	// ownershipActive lets this process decide everything.
	ownershipActive ownership = iota
	// ownershipTransferred has a successor that decides: only connections of clients and calls in flight are left here.
	ownershipTransferred
	// ownershipOrphaned has lost that successor: what is left here comes to its end.
	ownershipOrphaned
)

// handoverState is what the event loop has of its successor.
type handoverState struct {
	ownership ownership
	requester *handover.Link // a successor that requests the state directory, until the batch is complete
	successor *handover.Link // the one that has it
	// completed is closed once a successor owns the state directory.
	completed chan struct{}
	// stopOwnerTasks ends what only the owner does.
	stopOwnerTasks func()
	forwarded     map[int]*frontend.Submission // that the successor decides on, by number
	lastSubmissionNumber    int                          // of a forwarded submission
	reportedClients   int                          // connections of clients that the successor was told of
}

// ownsState reports whether this process owns the state directory.
func (s *handoverState) ownsState() bool { return s.ownership == ownershipActive }

// handOver hands the journal and all decisions over to a successor. It reports false, and has changed nothing, where the
// successor does not come as far as being ready. The loop stands still meanwhile: nothing may change under an offer.
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

// makeOffer returns what the successor has to know beside the journal.
func (l *loop) makeOffer(link *handover.Link) *handover.Offer {
	offer := &handover.Offer{Clients: l.clients.Count(), Clocks: link.ReadClocks()}
	for _, state := range l.dispatcher.ExportState() {
		offer.PolicyState = append(offer.PolicyState, state.Translate(link.EncodeInstant))
	}
	if l.journal.WriteError() != nil {
		offer.JournalIncomplete, offer.Live = true, map[string]handover.LiveMessage{}
		for _, e := range l.journal.Entries() {
			offer.Live[e.ID] = handover.LiveMessage{Attempts: len(e.Attempts), PendingNotification: e.PendingNotification}
		}
	}
	for _, m := range l.messages {
		if m.cancel != nil {
			last := m.Attempts[len(m.Attempts)-1]
			offer.InFlight = append(offer.InFlight, handover.Attempt{ID: m.ID, Attempt: len(m.Attempts) - 1, Call: m.call, Class: m.Class,
				Destination: m.Dest, Endpoint: last.Host, StartedAt: link.WallTime(last.StartedAt)})
		}
	}
	return offer
}

// receiveFromSuccessor brings the loop what the successor wants, until the link is down. It is a goroutine of its own, started by
// the loop; the process ends without waiting for it once nothing is left to do here.
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

// handleAfterHandover does with an event what is left to do after a handover.
func (l *loop) handleAfterHandover(e event) {
	switch e := e.(type) {
	case messageArrived:
		l.forward(e.Submission)
	case clientLeft:
		l.withdrawForwarded(e.Submission)
	case callEnded:
		l.forwardResults(e)
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

// forward hands a message that a client submitted here to the successor.
func (l *loop) forward(s *frontend.Submission) {
	l.handover.lastSubmissionNumber++
	if l.handover.ownership == ownershipOrphaned {
		s.Response <- l.unavailableResponse()
		return
	}
	l.handover.forwarded[l.handover.lastSubmissionNumber] = s
	e := s.Entry
	l.handover.successor.Send(handover.Message{Submission: &handover.Submission{Number: l.handover.lastSubmissionNumber, Body: e.Body,
		Entry: &handover.Entry{ID: e.ID, Class: e.Class, Destination: e.Dest, Key: e.Key,
			ExpiresAt: l.handover.successor.WallTime(e.ExpiresAt)}}})
}

// withdrawForwarded tells the successor that the client of a forwarded message has left.
func (l *loop) withdrawForwarded(s *frontend.Submission) {
	for number, forwarded := range l.handover.forwarded {
		if forwarded == s {
			delete(l.handover.forwarded, number)
			l.handover.successor.Send(handover.Message{Withdrawn: number})
		}
	}
}

// forwardResults tells the successor how a call ended that was in flight at the handover.
func (l *loop) forwardResults(e callEnded) {
	var results []handover.CallResult
	for _, a := range e {
		m := l.inFlight(a.id, a.attempt)
		if m == nil {
			continue
		}
		m.cancel = nil
		if a.Outcome == policy.NotStarted { // an earlier version may not know it
			a.Outcome = policy.NotSent
		}
		results = append(results, handover.CallResult{ID: a.id, Attempt: a.attempt, Endpoint: a.endpoint, Latency: a.latency,
			Outcome: a.Outcome, RetryAfter: a.RetryAfter, Completed: a.Completed, AttemptsExhausted: a.AttemptsExhausted,
			LoadReport: a.LoadReport})
	}
	if len(results) > 0 {
		l.handover.successor.Send(handover.Message{CallResults: results})
	}
}

// handleSuccessorMessage does what the successor wants.
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

// endOrphaned ends what is left: the successor is dead, and nobody hears any more what becomes of the calls. They end, so that none
// is in flight beside those that the next process makes.
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

// idleAfterHandover reports whether nothing is left to do here but to serve connections.
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

// unavailableResponse is the response to a message that nobody can accept now.
func (l *loop) unavailableResponse() frontend.Response {
	return frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: l.cfg.Policy.MaxRetryAfter}
}

// inFlight returns the message whose last attempt has a number and is in flight, or nil.
func (l *loop) inFlight(id string, attempt int) *message {
	if m := l.messages[id]; m != nil && m.cancel != nil && attempt == len(m.Attempts)-1 {
		return m
	}
	return nil
}
