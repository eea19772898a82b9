package relay

import (
	"context"
	"log/slog"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/relay/frontend"
)

// The ends of the phases of a graceful shutdown, as times since the signal. The platform may open new connections for up to 0.4 s
// after the signal, and may kill the process after 3.7 s.
const (
	// acceptPhaseEnd is when the relay stops accepting connections.
	acceptPhaseEnd = time.Second
	// startCallsPhaseEnd is when the relay stops starting calls, if messages are still pending.
	startCallsPhaseEnd = 2900 * time.Millisecond
	// finishCallsPhaseEnd is when the relay stops waiting for calls in flight.
	finishCallsPhaseEnd = 3500 * time.Millisecond
	// exitDeadline is when the relay stops waiting for clients to read the last responses.
	exitDeadline = 3650 * time.Millisecond

	// idlePollInterval is the time between two checks whether the loop is idle.
	idlePollInterval = 50 * time.Millisecond
	// readPollInterval is the time between two checks whether clients have read their responses.
	readPollInterval = idlePollInterval / 10
	// responseWriteTimeout limits how long the shutdown waits for responses that are being written.
	responseWriteTimeout = 100 * time.Millisecond
)

// drainAfterHandover shuts down a relay that has handed over to a successor. It waits until the clients have closed their
// connections and no call is in flight, but not longer than finishCallsPhaseEnd after ctx has ended.
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

// shutdownGracefully shuts down a relay in phases, of which all but the first end early if nothing is pending. Every request that
// has been read is answered, with a response that closes its connection. Connections without a request are closed last.
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

// closeConnections closes the clients' connections: idle ones at once, the others after their responses are written, for which it
// waits up to responseWriteTimeout. It then waits until the clients have read these responses, up to a deadline.
func (l *loop) closeConnections(ctx context.Context, server *frontend.Server, deadline instant.Time) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), responseWriteTimeout) // ctx has ended already
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		slog.Warn("connections not closed in time", "error", err)
	}
	// No request is accepted any more: the remaining connections are closed when the process exits.
	for l.clients.ResponsesUnread() && clock.Now() < deadline {
		time.Sleep(readPollInterval)
	}
}

// isBusy reports whether the message table has a message, or a request is still being read or answered.
func (l *loop) isBusy() bool { return l.clients.Busy() || !l.isIdle() }

// isIdle asks the loop whether it has nothing left to do, and waits for the answer.
func (l *loop) isIdle() bool {
	query := idleQuery{make(chan bool, 1)}
	l.enqueue(query)
	return <-query.idle
}
