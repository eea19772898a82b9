package relay

import (
	"log/slog"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/handover"
	"milletsail/internal/relay/upstream"
	"milletsail/policy"
)

// connectionCloseDelay is what the system gets to close the connections of a predecessor that died: its calls would else still be in
// flight beside the next attempts.
const connectionCloseDelay = 20 * time.Millisecond

// predecessorFollower is what a successor follows of the process before it, until that is gone.
type predecessorFollower struct {
	loop      *loop
	link      *handover.Link
	inFlight  map[string]int                  // attempts, by message
	submitted map[int]*forwardedSubmission // that are not answered, by number
}

// forwardedSubmission is a message that a client submitted to the predecessor.
type forwardedSubmission struct {
	*frontend.Submission
	withdrawn chan struct{} // closed when the client has left
}

// followPredecessor takes in what the predecessor tells after its handover, until it is gone. It is a goroutine of its own: it
// ends with the predecessor, and nobody waits for it.
func (l *loop) followPredecessor(link *handover.Link, offer *handover.Offer) {
	go link.Write()
	follower := &predecessorFollower{loop: l, link: link, inFlight: map[string]int{}, submitted: map[int]*forwardedSubmission{}}
	for _, a := range offer.InFlight {
		follower.inFlight[a.ID] = a.Attempt
	}
	for {
		m, err := link.Receive()
		if err != nil {
			break
		}
		follower.handle(m)
	}
	link.Close()
	time.Sleep(connectionCloseDelay)
	follower.handleExit()
}

// handle takes in one message.
func (p *predecessorFollower) handle(m handover.Message) {
	switch {
	case m.Submission != nil && m.Submission.Entry != nil:
		p.submit(m.Submission)
	case m.Withdrawn != 0:
		if s := p.submitted[m.Withdrawn]; s != nil {
			close(s.withdrawn)
		}
		delete(p.submitted, m.Withdrawn)
	case m.Answered != 0:
		delete(p.submitted, m.Answered)
	case m.CallResults != nil:
		p.endCalls(m.CallResults)
	case m.Clients != nil:
		p.loop.clients.Reserve(*m.Clients)
	}
}

// submit hands the loop a message that a client submitted to the predecessor.
func (p *predecessorFollower) submit(from *handover.Submission) {
	s := &forwardedSubmission{&frontend.Submission{Entry: p.entry(from), Response: make(chan frontend.Response, 1)},
		make(chan struct{})}
	p.submitted[from.Number] = s
	p.loop.enqueue(messageArrived{s.Submission})
	go p.respond(s, from.Number)
}

// entry returns the entry of a submission. No class gives it more than its deadline, whatever the predecessor says.
func (p *predecessorFollower) entry(from *handover.Submission) *journal.Entry {
	e := &journal.Entry{ID: from.Entry.ID, Class: from.Entry.Class, Dest: from.Entry.Destination, Key: from.Entry.Key,
		ExpiresAt: p.link.Instant(from.Entry.ExpiresAt), Body: from.Body}
	if class := p.loop.classIndex(e.Class); class >= 0 {
		e.ExpiresAt = min(e.ExpiresAt, clock.Now().Add(p.loop.cfg.Policy.Classes[class].Deadline))
	}
	return e
}

// respond sends the predecessor the response to a submission. It is a goroutine of its own, which ends with the response or once
// the client has left.
func (p *predecessorFollower) respond(s *forwardedSubmission, number int) {
	select {
	case response := <-s.Response:
		p.link.Send(handover.Message{Response: &handover.Response{Number: number, Status: response.Status,
			RetryAfter: response.RetryAfter}})
	case <-s.withdrawn:
		p.loop.enqueue(clientLeft{s.Submission})
	}
}

// endCalls tells the loop how calls of the predecessor ended.
func (p *predecessorFollower) endCalls(results []handover.CallResult) {
	var all callEnded
	for _, r := range results {
		if attempt, ok := p.inFlight[r.ID]; ok && attempt == r.Attempt {
			delete(p.inFlight, r.ID)
		}
		all = append(all, attemptEnded{id: r.ID, attempt: r.Attempt, endpoint: r.Endpoint, latency: r.Latency, Result: upstream.Result{
			Outcome: r.Outcome, RetryAfter: r.RetryAfter, Completed: r.Completed, AttemptsExhausted: r.AttemptsExhausted,
			LoadReport: r.LoadReport}})
	}
	p.loop.enqueue(all)
}

// handleExit takes in that the predecessor is gone: its calls may have been executed, and its clients have left.
func (p *predecessorFollower) handleExit() {
	var all callEnded
	for id, attempt := range p.inFlight {
		all = append(all, attemptEnded{id: id, attempt: attempt, Result: upstream.Result{Outcome: policy.Reset}})
	}
	if len(all) > 0 {
		p.loop.enqueue(all)
	}
	for _, s := range p.submitted {
		close(s.withdrawn)
	}
	p.loop.clients.Reserve(0)
	slog.Info("predecessor is gone", "calls_in_flight", len(p.inFlight))
}
