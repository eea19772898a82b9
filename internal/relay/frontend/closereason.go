package frontend

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
)

// closedConnections is the name of the counter of client connections that the relay closed before their client did, by reason.
const closedConnections = "relay_client_connections_closed"

// CloseReason is why the relay closed a client's connection for lack of room.
type CloseReason string

// The reasons for which connections are closed.
const (
	// ReasonIdle says that a connection without a request was evicted.
	ReasonIdle CloseReason = "idle"
	// ReasonLingering says that a connection whose last response was written was evicted.
	ReasonLingering CloseReason = "lingering"
	// ReasonStalled says that a connection was evicted whose client stalled in the middle of a request.
	ReasonStalled CloseReason = "stalled"
	// ReasonReading says that a connection was evicted in the middle of a request that had not stalled.
	ReasonReading CloseReason = "reading"
	// ReasonNoRoom says that a new connection was closed, since none could be evicted for it.
	ReasonNoRoom CloseReason = "no room"
)

// evictionReasons are the reasons for an eviction by the state of the connection.
var evictionReasons = map[state]CloseReason{stateIdle: ReasonIdle, stateLingering: ReasonLingering, stateReading: ReasonStalled}

// countClosed counts a connection that the relay closes. The caller holds the lock.
func (l *ConnectionLimiter) countClosed(reason CloseReason) {
	if l.closedFor == nil {
		l.closedFor = map[CloseReason]int{}
	}
	l.closedFor[reason]++
	if l.reasons != nil {
		l.reasons.Add(closedConnections, string(reason), 1)
	}
}

// countRefused counts a request that was answered before net/http got it, by the status.
func (l *ConnectionLimiter) countRefused(status int) {
	if l.reasons != nil {
		l.reasons.Add(malformedRequests, strconv.Itoa(status), 1)
	}
}

// LogClosed logs how many connections the relay has closed for lack of room since the last call, by reason. It bounds the log by
// the number of calls, however many peers connect.
func (l *ConnectionLimiter) LogClosed() {
	l.mu.Lock()
	closed, open := l.closedFor, len(l.connections)
	l.closedFor = nil
	l.mu.Unlock()
	for _, reason := range slices.Sorted(maps.Keys(closed)) {
		slog.Info("client connections closed", "reason", reason, "connections", closed[reason], "open", open)
	}
}
