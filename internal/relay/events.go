package relay

import (
	"time"

	"milletsail/internal/fleet/live"
	"milletsail/internal/instant"
	"milletsail/internal/relay/discovery"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/handover"
	"milletsail/internal/relay/upstream"
	"milletsail/policy"
)

// event is a message from another goroutine to the loop. The loop calls apply while this process owns the state directory; after
// a handover, handleAfterHandover processes events instead.
type event interface{ apply(l *loop) }

// The events that clients, calls, discovery, other relays, the platform, the process itself and its successor cause. Operators
// cause adminCommand events.
type (
	// messageArrived reports a message that a client has submitted.
	messageArrived struct{ *frontend.Submission }
	// clientLeft reports that a client disconnected before its message was answered.
	clientLeft struct{ *frontend.Submission }
	// callEnded reports the result of a call, with one element for each of its messages.
	callEnded []attemptEnded
	// attemptEnded is the result of a call for one message.
	attemptEnded struct {
		id       string // of the message
		attempt  int    // index in the message's Attempts
		endpoint string
		sentAt   instant.Time     // when the policy decided on it; zero for calls of the previous process
		limit    policy.CallLimit // what limited the call, for logs; unknown for calls of the previous process
		latency  time.Duration
		upstream.Result
	}
	// callConnected reports that a call has opened its connection and waits for the record of its attempts.
	callConnected struct{ call *outgoingCall }
	// batchReceived brings a part of an object that discovery sent.
	batchReceived struct{ discovery.Batch }
	// gossipReceived brings a gossip message for the policy.
	gossipReceived struct{ message []byte }
	// peersAssessed brings what the relays of the fleet have jointly observed of a destination or an endpoint.
	peersAssessed struct{ live.PeerAssessment }
	// watchEnded reports that the watch on discovery ended or could not be started.
	watchEnded struct{}
	// notificationsReceived reports that the platform has received the notifications of the messages with these ids.
	notificationsReceived struct{ ids []string }
	// shutdownStarted reports that the process is shutting down and starts no more calls.
	shutdownStarted struct{}
	// predecessorExited reports that the predecessor of a handover has exited.
	predecessorExited struct{}
	// successorRequested reports that a successor requests the state directory.
	successorRequested struct{ link *handover.Link }
	// successorMessage brings a message from the successor, after a handover.
	successorMessage struct{ handover.Message }
	// successorLost reports that the connection to the successor is closed.
	successorLost struct{}
	// idleQuery asks whether the loop has nothing left to do. The channel needs a buffer of one.
	idleQuery struct{ idle chan bool }
)

func (e messageArrived) apply(l *loop) { l.admit(e.Submission) }

func (e clientLeft) apply(l *loop) { l.withdraw(e.Submission) }

func (e callEnded) apply(l *loop) {
	for _, a := range e {
		// A result is ignored if its attempt is no longer in flight: the message may have ended before its call.
		if l.inFlight(a.id, a.attempt) != nil {
			l.completeAttempt(a)
		}
	}
}

func (e callConnected) apply(l *loop) { l.batch.connected = append(l.batch.connected, e.call) }

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

func (predecessorExited) apply(l *loop) { l.applyPlan(false) }

func (shutdownStarted) apply(l *loop) {
	l.batch.events = append(l.batch.events, policy.ShutdownStarted{})
}

func (e idleQuery) apply(l *loop) { e.idle <- l.idle() }

// apply does nothing: there is no successor before the handover, and after it handleAfterHandover processes events.
func (successorMessage) apply(*loop) {}

// apply does nothing, for the same reason as that of successorMessage.
func (successorLost) apply(*loop) {}
