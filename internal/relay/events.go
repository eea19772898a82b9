package relay

import (
	"time"

	"milletsail/internal/fleet/live"
	"milletsail/internal/relay/discovery"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/upstream"
	"milletsail/policy"
)

// event is what a goroutine sends the loop. Only the loop calls apply, while this process owns the folder; after a
// handover pass takes events instead.
type event interface{ apply(l *loop) }

// The events.
type (
	// messageArrived is a message that a client submits.
	messageArrived struct{ *frontend.Submission }
	// clientLeft says that a client left before its message was answered.
	clientLeft struct{ *frontend.Submission }
	// ended is the end of a call, for each of its messages.
	ended []answered
	// answered is the end of a call for one message.
	answered struct {
		id      string
		attempt int
		host    string
		took    time.Duration
		upstream.Result
	}
	// batchReceived is a part of an object that discovery sent.
	batchReceived struct{ discovery.Batch }
	// heard is a note of another relay.
	heard struct{ note []byte }
	// fleetSaid is what the other relays have found out together.
	fleetSaid struct{ live.PeerAssessment }
	// watchEnded says that the watch on discovery ended or could not be had.
	watchEnded struct{}
	// notificationsReceived says that the platform has notices.
	notificationsReceived struct{ ids []string }
	// stopSending says that the process is about to end.
	stopSending struct{}
	// takeover is a newer process that asks for the folder.
	takeover struct{ link *link }
	// heirGone says that the newer process is gone.
	heirGone struct{}
	// question asks whether anything is still to be done.
	question struct{ idle chan bool }
)

func (e messageArrived) apply(l *loop) { l.arrive(e.Submission) }

func (e clientLeft) apply(l *loop) { l.withdraw(e.Submission) }

func (e ended) apply(l *loop) {
	for _, a := range e {
		// A message may have had its end before the call that it was part of.
		if m := l.messages[a.id]; m != nil && m.cancel != nil && a.attempt == len(m.Attempts)-1 {
			l.answered(a)
		}
	}
}

func (e batchReceived) apply(l *loop) { l.acceptBatch(e.Batch) }

func (e heard) apply(l *loop) { l.events = append(l.events, policy.GossipReceived{Message: e.note}) }

func (e fleetSaid) apply(l *loop) { l.events = append(l.events, said(e.PeerAssessment)...) }

func (e adminCommand) apply(*loop) { e.reply <- e.answer() }

func (watchEnded) apply(l *loop) { l.events = append(l.events, policy.WatchFailed{}) }

func (e notificationsReceived) apply(l *loop) {
	for _, id := range e.ids {
		if m := l.messages[id]; m != nil {
			l.end(m)
		}
	}
}

func (e takeover) apply(l *loop) {
	if l.successor != nil {
		l.successor.close()
	}
	l.successor = e.link
}

func (stopSending) apply(l *loop) { l.events = append(l.events, policy.ShutdownStarted{}) }

func (e question) apply(l *loop) { e.idle <- len(l.messages) == 0 }

// apply of a line or an end of the link is for pass alone: neither comes before a handover.
func (line) apply(*loop) {}

func (heirGone) apply(*loop) {}
