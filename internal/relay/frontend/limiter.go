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
	// UpstreamShare is the share of the process's descriptors that idle connections to endpoints may take.
	UpstreamShare = 0.25
	// clientShare is the maximum share of the descriptors for client connections.
	clientShare = 0.5
	// guaranteedClientDivisor sets the minimum capacity for client connections: the platform guarantees clients one third of
	// the descriptors.
	guaranteedClientDivisor = 3
	// fixedDescriptors is the number of descriptors that a process needs at any load: files, listeners, the discovery watch,
	// admin connections, the Go runtime and the posts of notifications.
	fixedDescriptors = 22 + notifier.MaxSinglePosts
	// minShareInHandover is the share of the capacity that a new process may use even while its predecessor holds more than the
	// rest.
	minShareInHandover = 0.25
	// stallTimeout is how long a client may send nothing in the middle of a request before it counts as stalled. Some clients
	// take 2 s to send a request, but never pause for as long as stallTimeout.
	stallTimeout = 500 * time.Millisecond
)

// ConnectionLimiter is a listener that bounds the number of client connections of this process and its predecessor together. At
// the limit, a new connection evicts the one that is least likely to submit a message, so that peers that never complete a
// request cannot keep clients out. Its methods are safe for concurrent use, except that only one goroutine may call Accept.
type ConnectionLimiter struct {
	net.Listener
	capacity int // maximum number of client connections, the predecessor's included
	// queueDelay returns how long the last accepted connection may have waited in the kernel's queue while accepts failed. Nil
	// stands for no delay.
	queueDelay func() time.Duration

	mu          sync.Mutex
	changed     sync.Cond
	connections map[*Connection]bool // open connections of this process
	reserved    int                  // part of the capacity that the predecessor's connections take
	closed      bool                 // whether Close was called
	closedFor   map[CloseReason]int  // connections that the relay closed since the last LogClosed, by reason
	reasons     *metrics.ReasonCounters
}

// Listen opens the listening socket for clients: the one inherited from the platform if the configuration names one, else a new
// one at the configured address. It retries transient failures for a bounded time. Cancellation of ctx does not interrupt it.
func Listen(ctx context.Context, c *config.Config, reasons *metrics.ReasonCounters) (*ConnectionLimiter, error) {
	ctx = context.WithoutCancel(ctx)
	opened, err := listener.Listen(ctx, "clients", func() (net.Listener, error) { return openSocket(ctx, c) })
	if err != nil {
		return nil, err
	}
	accepting := listener.New(opened, "clients", reasons)
	l := newLimiter(accepting, capacityFor(c.Limits.Sockets, c.Policy.Slots))
	l.reasons = reasons
	l.queueDelay = accepting.QueueDelay
	return l, nil
}

// newLimiter returns a limiter of the given capacity for the connections of a listener.
func newLimiter(accepting net.Listener, capacity int) *ConnectionLimiter {
	l := &ConnectionLimiter{Listener: accepting, capacity: capacity, connections: map[*Connection]bool{}}
	l.changed.L = &l.mu
	return l
}

// capacityFor returns the maximum number of client connections for a process that may open the given number of sockets. It
// leaves descriptors for idle endpoint connections, one call in each slot, and the fixed needs of this process and of a second
// one during a handover, but returns no less than the number that the platform guarantees to clients.
func capacityFor(sockets, slots int) int {
	remaining := sockets - int(UpstreamShare*float64(sockets)) - slots - 2*fixedDescriptors
	return max(1, sockets/guaranteedClientDivisor, min(int(clientShare*float64(sockets)), remaining))
}

// openSocket returns a listener on the inherited socket, or on the configured address if none is inherited.
func openSocket(ctx context.Context, c *config.Config) (net.Listener, error) {
	if c.InheritedSocket == "" {
		var listen net.ListenConfig
		return listen.Listen(ctx, "tcp", c.Listen)
	}
	fd, err := strconv.Atoi(c.InheritedSocket)
	if err != nil {
		return nil, fmt.Errorf("inherited client socket: descriptor number: %w", err)
	}
	f := os.NewFile(uintptr(fd), "clients")
	if f == nil {
		return nil, errors.New("inherited client socket: invalid descriptor " + c.InheritedSocket)
	}
	defer func() { _ = f.Close() }()
	return net.FileListener(f)
}

// Accept returns the next client connection, once there is capacity for it.
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

// full reports whether another connection would exceed the capacity. The caller holds the lock.
func (l *ConnectionLimiter) full() bool {
	return len(l.connections) >= max(l.capacity-l.reserved, int(minShareInHandover*float64(l.capacity)), 1)
}

// evictOrWait evicts a connection and reports true. If it cannot, it reports false once the limiter may have changed, and the
// caller checks again. The caller holds the lock.
func (l *ConnectionLimiter) evictOrWait() bool {
	candidate := l.evictionCandidate(clock.Now())
	if candidate == nil {
		// No connection can be evicted yet. One that is reading a request can be once it has sent nothing for stallTimeout.
		retry := time.AfterFunc(stallTimeout, l.changed.Broadcast)
		l.changed.Wait()
		retry.Stop()
		return false
	}
	if candidate.state == stateIdle && socket.HasUnread(candidate.Conn) {
		// A request has arrived, but its goroutine has not read it yet.
		candidate.state, candidate.lastActive = stateReading, clock.Now()
		return false
	}
	l.countClosed(evictionReasons[candidate.state])
	candidate.closed = true
	delete(l.connections, candidate)
	_ = candidate.Conn.Close()
	return true
}

// evictionCandidate returns the connection to evict for a new one, or nil if none can be evicted. Idle connections are evicted
// before lingering ones, and lingering ones before those that stalled in the middle of a request; within a state, the one
// inactive for longest is evicted first. A connection is never evicted while its response is pending, while it is reading a
// request and was active within stallTimeout, or during the first minLinger of lingering. The caller holds the lock.
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

// Close stops accepting clients. It closes this process's descriptor; the socket stays open if the platform or another process
// holds a descriptor of it too.
func (l *ConnectionLimiter) Close() error {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// Reserve sets the number of client connections that the predecessor holds, which reduces the capacity of this process.
func (l *ConnectionLimiter) Reserve(connections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved = connections
	l.changed.Broadcast()
}

// Count returns the number of open connections of this process, lingering ones included.
func (l *ConnectionLimiter) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

// Busy reports whether any connection has a request that is being read or waits for its response.
func (l *ConnectionLimiter) Busy() bool {
	return l.any(func(c *Connection) bool { return c.state >= stateReading })
}

// ResponsesUnread reports whether any client may still be waiting for a response or reading one.
func (l *ConnectionLimiter) ResponsesUnread() bool {
	return l.any(func(c *Connection) bool { return c.state == stateLingering || c.state == stateResponsePending })
}

// any reports whether any open connection matches.
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
