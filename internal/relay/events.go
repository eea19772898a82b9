package relay

import (
	"time"

	"milletsail/internal/fleet/live"
	"milletsail/internal/relay/discovery"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/handover"
	"milletsail/internal/relay/upstream"
	"milletsail/policy"
)

// event is what a goroutine sends the loop. Only the loop calls apply, while this process owns the state directory; after a
// handover handleAfterHandover takes events instead.
type event interface{ apply(l *loop) }

// The events of clients, calls, discovery, other relays, the platform, the process and its successor.
type (
	// messageArrived is a message that a client submits.
	messageArrived struct{ *frontend.Submission }
	// clientLeft says that a client left before its message was answered.
	clientLeft struct{ *frontend.Submission }
	// callEnded is the end of a call, for each of its messages.
	callEnded []attemptEnded
	// attemptEnded is the end of a call for one message.
	attemptEnded struct {
		id       string
		attempt  int
		endpoint string
		latency  time.Duration
		upstream.Result
	}
	// batchReceived is a part of an object that discovery sent.
	batchReceived struct{ discovery.Batch }
	// gossipReceived is a gossip message for the policy.
	gossipReceived struct{ message []byte }
	// peersAssessed is what the relays of the fleet have found out together.
	peersAssessed struct{ live.PeerAssessment }
	// watchEnded says that the watch on discovery ended, or that its request failed.
	watchEnded struct{}
	// notificationsReceived says that the platform has received the notifications of some messages.
	notificationsReceived struct{ ids []string }
	// shutdownStarted says that the process is about to end.
	shutdownStarted struct{}
	// successorRequested is a successor that requests the state directory.
	successorRequested struct{ link *handover.Link }
	// successorMessage is a message of the successor after a handover.
	successorMessage struct{ handover.Message }
	// successorLost says that the successor is gone.
	successorLost struct{}
	// idleQuery asks whether nothing is left to do.
	idleQuery struct{ idle chan bool }
)

func (e messageArrived) apply(l *loop) { l.admit(e.Submission) }

func (e clientLeft) apply(l *loop) { l.withdraw(e.Submission) }

func (e callEnded) apply(l *loop) {
	for _, a := range e {
		// A message may have had its end before the call that it was part of.
		if l.inFlight(a.id, a.attempt) != nil {
			l.completeAttempt(a)
		}
	}
}

func (e batchReceived) apply(l *loop) { l.handleBatch(e.Batch) }

func (e gossipReceived) apply(l *loop) {
	l.batch.events = append(l.batch.events, policy.GossipReceived{Message: e.message})
}

func (e peersAssessed) apply(l *loop) {
	l.batch.events = append(l.batch.events, assessmentEvents(e.PeerAssessment)...)
}

func (e adminCommand) apply(*loop) { e.reply <- e.answer() }

func (watchEnded) apply(l *loop) { l.batch.events = append(l.batch.events, policy.WatchFailed{}) }

func (e notificationsReceived) apply(l *loop) {
	for _, id := range e.ids {
		if m := l.messages[id]; m != nil {
			l.complete(m)
		}
	}
}

func (e successorRequested) apply(l *loop) {
	if l.handover.requester != nil {
		l.handover.requester.Close()
	}
	l.handover.requester = e.link
}

func (shutdownStarted) apply(l *loop) {
	l.batch.events = append(l.batch.events, policy.ShutdownStarted{})
}

func (e idleQuery) apply(l *loop) { e.idle <- len(l.messages) == 0 }

// apply does nothing: messages and the end of a successor come after a handover, and handleAfterHandover takes them.
func (successorMessage) apply(*loop) {}

func (successorLost) apply(*loop) {}
