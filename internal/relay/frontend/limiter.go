package frontend

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"strconv"
	"sync"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/relay/config"
	"milletsail/internal/relay/listener"
	"milletsail/internal/relay/memory"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/notifier"
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
)

// ConnectionLimiter is a listener that bounds the number of client connections of this process and its predecessor together. At
// the limit, a new connection evicts the one that is least likely to submit a message, so that peers that never complete a
// request cannot keep clients out. Its methods are safe for concurrent use, except that only one goroutine may call Accept.
type ConnectionLimiter struct {
	net.Listener
	capacity int // maximum number of client connections by the descriptors, the predecessor's included
	// queueDelay returns how long the last accepted connection may have waited in the kernel's queue while accepts failed. Nil
	// stands for no delay.
	queueDelay func() time.Duration

	mu          sync.Mutex
	connections map[*Connection]bool // open connections of this process
	reserved    int                  // part of the capacity that the predecessor's connections take
	closed      bool                 // whether Close was called
	closedFor   map[CloseReason]int  // connections that the relay closed since the last LogClosed, by reason
	reasons     *metrics.ReasonCounters

	memoryCapacity int         // maximum number of client connections of this process by its memory
	input          memory.Pool // memory of requests beyond that of their connections
	evicted        memory.Pool // memory of evicted connections whose goroutines have not ended
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

// newLimiter returns a limiter of the given capacity for the connections of a listener. Its memory is unbounded until ApplyPlan.
func newLimiter(accepting net.Listener, capacity int) *ConnectionLimiter {
	l := &ConnectionLimiter{Listener: accepting, capacity: capacity, connections: map[*Connection]bool{}}
	l.memoryCapacity = capacity
	l.input.Resize(math.MaxInt64)
	l.evicted.Resize(math.MaxInt64)
	return l
}

// ApplyPlan sets the memory that clients may take up. It evicts connections beyond their new number where it can.
func (l *ConnectionLimiter) ApplyPlan(plan memory.Plan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memoryCapacity = max(1, int(plan.Share(memory.Connections)/memory.ConnectionSize))
	l.input.Resize(plan.Share(memory.Input))
	l.evicted.Resize(plan.Share(memory.Evicted))
	for len(l.connections) > l.memoryCapacity && l.evictOne(func(*Connection) bool { return true }) {
	}
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

// Accept returns the next client connection that there is capacity for. The others are closed at once.
func (l *ConnectionLimiter) Accept() (net.Conn, error) {
	for {
		runtime.Gosched() // lets the connections that were accepted be served before the next one
		conn, err := l.Listener.Accept()
		if err != nil { // closed
			return nil, err
		}
		if c := l.admit(conn); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// admit returns a Connection for an accepted connection, and evicts another one if there is no capacity. It returns nil if it
// cannot.
func (l *ConnectionLimiter) admit(conn net.Conn) *Connection {
	now := clock.Now()
	c := &Connection{Conn: conn, limiter: l, lastActive: now, acceptedAt: now}
	if l.queueDelay != nil {
		c.queueDelay = min(l.queueDelay(), ReadTimeout-stallTimeout)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.full() && !l.closed {
		if !l.evictOne(func(*Connection) bool { return true }) {
			l.countClosed(ReasonNoRoom)
			return nil
		}
	}
	l.connections[c] = true
	return c
}

// full reports whether another connection would exceed the capacity. The caller holds the lock.
func (l *ConnectionLimiter) full() bool {
	descriptors := max(l.capacity-l.reserved, int(minShareInHandover*float64(l.capacity)), 1)
	return len(l.connections) >= min(descriptors, l.memoryCapacity)
}

// Close stops accepting clients. It closes this process's descriptor; the socket stays open if the platform or another process
// holds a descriptor of it too.
func (l *ConnectionLimiter) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	return l.Listener.Close()
}

// Reserve sets the number of client connections that the predecessor holds, which reduces the capacity of this process.
func (l *ConnectionLimiter) Reserve(connections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved = connections
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
