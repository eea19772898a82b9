package relay

import (
	"context"
	"log/slog"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/relay/frontend"
)

// The phases of a graceful shutdown, as times since the signal. Connections go on coming for up to 0.4 s, and the process may be
// killed after 3.7 s.
const (
	// acceptPhase is how long new connections are accepted.
	acceptPhase = time.Second
	// startCallsPhase is how long calls are started.
	startCallsPhase = 2900 * time.Millisecond
	// finishCallsPhase is how long calls may be in flight.
	finishCallsPhase = 3500 * time.Millisecond
	// exitDeadline is until when clients may read the last responses.
	exitDeadline = 3650 * time.Millisecond

	// idlePollInterval is the time between two looks whether all is done.
	idlePollInterval = 50 * time.Millisecond
	// readPollInterval is the time between two looks whether clients have read their responses.
	readPollInterval = idlePollInterval / 10
	// responseWriteTimeout is for responses that are being written.
	responseWriteTimeout = 100 * time.Millisecond
)

// drainAfterHandover brings a relay to its end whose place a newer process has taken: it stays for as long as clients keep its
// connections or calls are out, but after a signal to end no longer than drain does.
func (l *loop) drainAfterHandover(ctx context.Context, server *frontend.Server) {
	server.StartDraining()
	_ = l.clients.Close()
	end, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if clock.Sleep(end, finishCallsPhase) {
			cancel()
		}
	})()
	for l.clients.Count() > 0 || !l.isIdle() {
		if !clock.Sleep(end, idlePollInterval) {
			break
		}
	}
	l.closeConnections(server, clock.Now().Add(responseWriteTimeout))
}

// shutDown brings a relay to its end. No request that was read goes unanswered: answers close their
// connections, and those that stay unused are closed last.
func (l *loop) shutDown(server *frontend.Server) {
	begun := clock.Now()
	until := func(stage time.Duration) time.Duration { return clock.Until(begun.Add(stage)) }
	server.StartDraining()
	time.Sleep(until(acceptPhase))
	_ = l.clients.Close()
	for until(startCallsPhase) > 0 && l.isBusy() {
		time.Sleep(idlePollInterval)
	}
	l.enqueue(shutdownStarted{})
	for until(finishCallsPhase) > 0 && l.isBusy() {
		time.Sleep(idlePollInterval)
	}
	l.closeConnections(server, begun.Add(exitDeadline))
}

// closeConnections closes the clients' connections: those that rest at once, the others once the answers that are being written
// are out. The process ends when the clients have read these, or at a moment.
func (l *loop) closeConnections(server *frontend.Server, by instant.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), responseWriteTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		slog.Warn("connections left", "err", err)
	}
	// No request is taken up any more: what is left of the others ends with the process.
	for l.clients.ResponsesUnread() && clock.Now() < by {
		time.Sleep(readPollInterval)
	}
}

// isBusy tells whether a message is held, or a request that may become one is still being written.
func (l *loop) isBusy() bool { return l.clients.Busy() || !l.isIdle() }

// isIdle tells whether nothing is held.
func (l *loop) isIdle() bool {
	q := idleQuery{make(chan bool, 1)}
	l.enqueue(q)
	return <-q.idle
}
