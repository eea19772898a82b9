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

// connectionCloseDelay is the time that the kernel gets to close the connections of a predecessor that has died. Without it, the
// predecessor's calls could still be in flight while this process repeats them.
const connectionCloseDelay = 20 * time.Millisecond

// predecessorFollower processes the predecessor's messages after a handover, until the predecessor exits. It is used by the
// goroutine of followPredecessor alone, apart from the link and the loop.
type predecessorFollower struct {
	loop      *loop
	link      *handover.Link
	inFlight  map[string]int               // index of the attempt in flight in the predecessor, by message id
	submitted map[int]*forwardedSubmission // submissions without a response so far, by number
}

// forwardedSubmission is a submission to the predecessor, which forwards it to this process.
type forwardedSubmission struct {
	*frontend.Submission
	withdrawn chan struct{} // closed when the client disconnects
}

// followPredecessor processes the predecessor's messages after a handover, until the predecessor exits. It runs in a goroutine of
// its own, which no other code waits for.
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

// handle processes one message from the predecessor.
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

// submit passes a forwarded submission to the loop.
func (p *predecessorFollower) submit(from *handover.Submission) {
	s := &forwardedSubmission{&frontend.Submission{Entry: p.entry(from), Response: make(chan frontend.Response, 1)},
		make(chan struct{})}
	p.submitted[from.Number] = s
	p.loop.enqueue(messageArrived{s.Submission})
	go p.respond(s, from.Number)
}

// entry returns the journal entry for a forwarded submission. The message expires no later than its class's deadline from now,
// even if the predecessor reports a later time.
func (p *predecessorFollower) entry(from *handover.Submission) *journal.Entry {
	e := &journal.Entry{ID: from.Entry.ID, Class: from.Entry.Class, Dest: from.Entry.Destination, Key: from.Entry.Key,
		ExpiresAt: p.link.Instant(from.Entry.ExpiresAt), Body: from.Body}
	if class := p.loop.classIndex(e.Class); class >= 0 {
		e.ExpiresAt = min(e.ExpiresAt, clock.Now().Add(p.loop.cfg.Policy.Classes[class].Deadline))
	}
	return e
}

// respond waits for the response to a forwarded submission and sends it to the predecessor. If the client disconnects first, it
// reports that to the loop instead. It runs in a goroutine of its own.
func (p *predecessorFollower) respond(s *forwardedSubmission, number int) {
	select {
	case response := <-s.Response:
		p.link.Send(handover.Message{Response: &handover.Response{Number: number, Status: response.Status,
			RetryAfter: response.RetryAfter}})
	case <-s.withdrawn:
		p.loop.enqueue(clientLeft{s.Submission})
	}
}

// endCalls passes results of the predecessor's calls to the loop.
func (p *predecessorFollower) endCalls(results []handover.CallResult) {
	var all callEnded
	for _, r := range results {
		if attempt, ok := p.inFlight[r.ID]; ok && attempt == r.Attempt {
			delete(p.inFlight, r.ID)
		}
		if r.Outcome == policy.NotStarted { // it was offered as started, so both processes count it
			r.Outcome = policy.NotSent
		}
		all = append(all, attemptEnded{id: r.ID, attempt: r.Attempt, endpoint: r.Endpoint, latency: r.Latency,
			Result: upstream.Result{Outcome: r.Outcome, RetryAfter: r.RetryAfter, Completed: r.Completed,
				AttemptsExhausted: r.AttemptsExhausted, LoadReport: r.LoadReport}})
	}
	p.loop.enqueue(all)
}

// handleExit handles the predecessor's exit: calls still in flight end as reset, since they may have been executed, and
// unanswered submissions are withdrawn, since their clients' connections are closed.
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
	p.loop.enqueue(predecessorExited{})
	slog.Info("predecessor is gone", "calls_in_flight", len(p.inFlight))
}
