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
	// acceptPhaseEnd is how long new connections are accepted.
	acceptPhaseEnd = time.Second
	// startCallsPhaseEnd is how long calls are started.
	startCallsPhaseEnd = 2900 * time.Millisecond
	// finishCallsPhaseEnd is how long calls may be in flight.
	finishCallsPhaseEnd = 3500 * time.Millisecond
	// exitDeadline is until when clients may read the last responses.
	exitDeadline = 3650 * time.Millisecond

	// idlePollInterval is the time between two looks whether all is done.
	idlePollInterval = 50 * time.Millisecond
	// readPollInterval is the time between two looks whether clients have read their responses.
	readPollInterval = idlePollInterval / 10
	// responseWriteTimeout is for responses that are being written.
	responseWriteTimeout = 100 * time.Millisecond
)

// drainAfterHandover ends a relay that has handed over: it stays for as long as clients keep its connections or calls are in
// flight, but after a signal to end no longer than shutdownGracefully does.
func (l *loop) drainAfterHandover(ctx context.Context, server *frontend.Server) {
	server.StartDraining()
	_ = l.clients.Close()
	end, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if clock.Sleep(end, finishCallsPhaseEnd) {
			cancel()
		}
	})()
	for l.clients.Count() > 0 || !l.isIdle() {
		if !clock.Sleep(end, idlePollInterval) {
			break
		}
	}
	l.closeConnections(ctx, server, clock.Now().Add(responseWriteTimeout))
}

// shutdownGracefully ends a relay in phases. No request that was read goes unanswered: each response closes its connection, and
// connections that stay unused are closed last.
func (l *loop) shutdownGracefully(ctx context.Context, server *frontend.Server) {
	started := clock.Now()
	until := func(phase time.Duration) time.Duration { return clock.Until(started.Add(phase)) }
	server.StartDraining()
	time.Sleep(until(acceptPhaseEnd))
	_ = l.clients.Close()
	for until(startCallsPhaseEnd) > 0 && l.isBusy() {
		time.Sleep(idlePollInterval)
	}
	l.enqueue(shutdownStarted{})
	for until(finishCallsPhaseEnd) > 0 && l.isBusy() {
		time.Sleep(idlePollInterval)
	}
	l.closeConnections(ctx, server, started.Add(exitDeadline))
}

// closeConnections closes the clients' connections: those that are idle at once, the others once the responses that are being
// written are out. It waits until the clients have read these, or for a deadline.
func (l *loop) closeConnections(ctx context.Context, server *frontend.Server, deadline instant.Time) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), responseWriteTimeout) // the signal to end has come
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		slog.Warn("connections not closed in time", "error", err)
	}
	// No request is accepted any more: what is left of the others ends with the process.
	for l.clients.ResponsesUnread() && clock.Now() < deadline {
		time.Sleep(readPollInterval)
	}
}

// isBusy reports whether a message is pending, or a request that may become one is still being written.
func (l *loop) isBusy() bool { return l.clients.Busy() || !l.isIdle() }

// isIdle reports whether the loop has nothing left to do.
func (l *loop) isIdle() bool {
	query := idleQuery{make(chan bool, 1)}
	l.enqueue(query)
	return <-query.idle
}
