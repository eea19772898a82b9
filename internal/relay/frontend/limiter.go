package frontend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/relay/config"
	"milletsail/internal/relay/listener"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/notifier"
	"milletsail/internal/relay/socket"
)

const (
	// UpstreamShare of the descriptors is for idle connections to endpoints.
	UpstreamShare = 0.25
	// clientShare of the descriptors is for client connections at most.
	clientShare = 0.5
	// guaranteedClientDivisor divides the descriptors: the platform lets clients use that many in any case.
	guaranteedClientDivisor = 3
	// fixedDescriptors is what a process has open whatever its load: files, listeners, discovery, operators, the runtime, the
	// posts of notifications.
	fixedDescriptors = 22 + notifier.MaxSinglePosts
	// minShareInHandover of the capacity is left to a new process while its predecessor has the rest.
	minShareInHandover = 0.25
	// stallTimeout is how long a client may be silent in the middle of a request before it counts as stalled: some take 2 s
	// to write one, and write on all the while.
	stallTimeout = 500 * time.Millisecond
)

// ConnectionLimiter is a listener that bounds the connections of clients, those that the predecessor still has included. With
// all places taken, a new connection evicts the one that is least likely to bring a message, so that a crowd that never
// completes one keeps no client out. Its methods are safe for concurrent use, but Accept is for one goroutine.
type ConnectionLimiter struct {
	net.Listener
	capacity   int
	queueDelay func() time.Duration // of the connection that was accepted last; nil for never

	mu          sync.Mutex
	changed     sync.Cond
	connections map[*Connection]bool // of this process
	reserved    int                  // for the predecessor's connections
	closed      bool
}

// Listen accepts client connections at the socket that the platform holds, where it says so, else at the address that the
// configuration names. The end of ctx does not interrupt it.
func Listen(ctx context.Context, c *config.Config, reasons *metrics.ReasonCounters) (*ConnectionLimiter, error) {
	ctx = context.WithoutCancel(ctx)
	opened, err := listener.Listen(ctx, "clients", func() (net.Listener, error) { return openSocket(ctx, c) })
	if err != nil {
		return nil, err
	}
	accepting := listener.New(opened, "clients", reasons)
	l := newLimiter(accepting, capacityFor(c.Limits.Sockets, c.Policy.Slots))
	l.queueDelay = accepting.QueueDelay
	return l, nil
}

// newLimiter returns a limiter of a listener's connections.
func newLimiter(accepting net.Listener, capacity int) *ConnectionLimiter {
	l := &ConnectionLimiter{Listener: accepting, capacity: capacity, connections: map[*Connection]bool{}}
	l.changed.L = &l.mu
	return l
}

// capacityFor is how many client connections fit beside what else needs descriptors, the calls of all slots and another
// process in a handover included, but no fewer than the platform lets clients use.
func capacityFor(sockets, slots int) int {
	remaining := sockets - int(UpstreamShare*float64(sockets)) - slots - 2*fixedDescriptors
	return max(1, sockets/guaranteedClientDivisor, min(int(clientShare*float64(sockets)), remaining))
}

// openSocket opens the configured socket.
func openSocket(ctx context.Context, c *config.Config) (net.Listener, error) {
	if c.InheritedSocket == "" {
		var listen net.ListenConfig
		return listen.Listen(ctx, "tcp", c.Listen)
	}
	fd, err := strconv.Atoi(c.InheritedSocket)
	if err != nil {
		return nil, fmt.Errorf("inherited socket: %w", err)
	}
	f := os.NewFile(uintptr(fd), "clients")
	if f == nil {
		return nil, errors.New("inherited socket: no descriptor " + c.InheritedSocket)
	}
	defer func() { _ = f.Close() }()
	return net.FileListener(f)
}

// Accept waits for a client, and for a place for it.
func (l *ConnectionLimiter) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil { // closed
		return nil, err
	}
	c := &Connection{Conn: conn, limiter: l, lastActive: clock.Now(), acceptedAt: clock.Now()}
	if l.queueDelay != nil {
		c.queueDelay = min(l.queueDelay(), ReadTimeout-stallTimeout)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.full() && !l.closed {
		if l.evictOrWait() {
			break
		}
	}
	l.connections[c] = true
	return c, nil
}

// full reports whether all places are taken. The caller holds the lock.
func (l *ConnectionLimiter) full() bool {
	return len(l.connections) >= max(l.capacity-l.reserved, int(minShareInHandover*float64(l.capacity)), 1)
}

// evictOrWait evicts a connection, or reports false once something has changed. The caller holds the lock.
func (l *ConnectionLimiter) evictOrWait() bool {
	candidate := l.evictionCandidate(clock.Now())
	if candidate == nil {
		// No connection may be evicted yet. One that falls silent may be, after stallTimeout.
		retry := time.AfterFunc(stallTimeout, l.changed.Broadcast)
		l.changed.Wait()
		retry.Stop()
		return false
	}
	if candidate.state == stateIdle && socket.HasUnread(candidate.Conn) {
		// Its request is here, and only the goroutine that reads it has not come to it.
		candidate.state, candidate.lastActive = stateReading, clock.Now()
		return false
	}
	candidate.closed = true
	delete(l.connections, candidate)
	_ = candidate.Conn.Close()
	return true
}

// evictionCandidate returns the connection to close for a new one, or nil. Idle ones (nothing of a request has come) go before
// lingering ones (the last response is out), and these before ones that stalled in the middle of a request; of the same state
// the one that was silent longest goes. One whose response is pending is never evicted, nor is one that was active within
// stallTimeout, or whose response may still be on its way (minLinger). The caller holds the lock.
func (l *ConnectionLimiter) evictionCandidate(now instant.Time) (candidate *Connection) {
	for c := range l.connections {
		silent := now.Sub(c.lastActive)
		if c.state == stateResponsePending || c.state == stateReading && silent < stallTimeout ||
			c.state == stateLingering && silent < minLinger {
			continue
		}
		if candidate == nil || c.state < candidate.state || c.state == candidate.state && c.lastActive < candidate.lastActive {
			candidate = c
		}
	}
	return candidate
}

// Close stops accepting clients. The socket itself stays open where the platform or another process has it too.
func (l *ConnectionLimiter) Close() error {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// Reserve sets how many connections of clients the predecessor has.
func (l *ConnectionLimiter) Reserve(connections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved = connections
	l.changed.Broadcast()
}

// Count returns how many connections are open.
func (l *ConnectionLimiter) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

// Busy reports whether a request is being read or waits for its response on some connection.
func (l *ConnectionLimiter) Busy() bool {
	return l.any(func(c *Connection) bool { return c.state >= stateReading })
}

// ResponsesUnread reports whether some client may still be waiting for a response, or reading one.
func (l *ConnectionLimiter) ResponsesUnread() bool {
	return l.any(func(c *Connection) bool { return c.state == stateLingering || c.state == stateResponsePending })
}

// any reports whether some connection matches.
func (l *ConnectionLimiter) any(matches func(*Connection) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		if matches(c) {
			return true
		}
	}
	return false
}
