// Package upstream makes calls to endpoints over a pool of connections, and determines for each message of a call whether the
// endpoint may have executed it.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/relay/memory"
	"milletsail/internal/relay/protocol"
	"milletsail/policy"
)

// idleTimeoutShare is the pool's idle time-out as a share of the endpoints' idle time-out. The pool closes idle connections
// first, since a request that is sent while the endpoint closes the connection ends in a reset. At a share of 0.95 endpoints
// closed some connections before the pool did, without a gain in goodput.
const idleTimeoutShare = 0.8

// errNotSettled reports that a call ended while it waited for protocol.ResponseSettleTime.
var errNotSettled = errors.New("call ended before its connection had settled")

// errNoMemory reports that the calls in flight take up all memory that calls may have.
var errNoMemory = errors.New("no memory for another call")

// Pool makes calls to endpoints over connections that carry one call at a time: Reserve begins a call. It does not use http.Transport for two reasons:
// http.Transport resends a request with an Idempotency-Key when a cached connection breaks, which may execute it twice; and it
// does not report whether the last byte of a request was written, which separates "not executed" from "may have been executed".
//
// A Pool is safe for concurrent use. It has no background goroutine: idle connections are closed only in calls of its methods.
type Pool struct {
	// Memory is the memory that calls may take up. Nil sets no limit.
	Memory *memory.Pool

	dialer      net.Dialer
	idleTimeout time.Duration
	// written counts the messages of requests that were written completely.
	written *atomic.Int64
	// sleep waits like clock.Sleep; tests replace it.
	sleep func(ctx context.Context, d time.Duration) bool

	mu         sync.Mutex
	capacity   int                     // maximum number of idle connections
	idle       map[string][]*conn      // idle connections by address, the most recently used one last
	idleCount  int                     // number of idle connections to all addresses
	canceledAt map[string]instant.Time // by address, the time of the last CancelUnwritten
}

// NewPool returns a pool that keeps at most capacity idle connections. Endpoints close an idle connection after
// endpointIdleTimeout, and the pool does so earlier. connectTimeout bounds the time to open a connection. The pool adds the
// number of messages of each completely written request to written.
func NewPool(connectTimeout, endpointIdleTimeout time.Duration, capacity int, written *atomic.Int64) *Pool {
	return &Pool{dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}, capacity: capacity, idle: map[string][]*conn{},
		canceledAt: map[string]instant.Time{}, written: written, sleep: clock.Sleep,
		idleTimeout: time.Duration(idleTimeoutShare * float64(endpointIdleTimeout))}
}

// roundTripUntilDone writes a request on a connection and reads its response, and interrupts that when ctx ends. reuse reports
// whether the connection may carry another call.
func (p *Pool) roundTripUntilDone(ctx context.Context, conn *conn, call Call) (results []Result, reuse bool) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(pastDeadline) })
	results, reuse = p.roundTrip(ctx, conn, call)
	return results, stop() && reuse
}

// merge returns the results of all messages of the call. results are those of the messages of claimed; the other messages were
// not written, and their outcome is NotSent.
func (c Call) merge(claimed Call, results []Result) []Result {
	all := c.resultForAll(Result{Outcome: policy.NotSent})
	for i, m := range claimed.Messages {
		all[c.indexOf(m.ID)] = results[i]
	}
	return all
}

// roundTrip writes a request and reads its response. reuse reports whether the connection may carry another call.
func (p *Pool) roundTrip(ctx context.Context, conn *conn, call Call) (results []Result, reuse bool) {
	deadline, _ := ctx.Deadline()
	out, err := call.encode(ctx, time.Until(deadline)) // uses the monotonic clock, which a context deadline carries
	if err != nil {
		return call.resultForAll(Result{Outcome: policy.ConnectError}), false
	}
	if conn.reused() && !conn.reusable() {
		return call.resultForAll(Result{Outcome: policy.NotSent}), false // more than the last response has arrived, or the end
	}
	conn.callErr = ctx.Err
	if n, _ := conn.Write(out); n < len(out) {
		return call.resultForAll(Result{Outcome: policy.ConnectError}), false // an incomplete request is not executed
	}
	p.written.Add(int64(len(call.Messages)))
	single := len(call.Messages) == 1
	resp, err := conn.readResponse(single) //nolint:bodyclose // the connection is closed or drained instead
	if err != nil && resp != nil && single {
		return call.resultForAll(classifyResponse(resp)), false // the status line is reliable even if the rest is incomplete
	}
	if err != nil {
		return call.resultForAll(Result{Outcome: interruptedOutcome(ctx)}), false
	}
	if single && resp.StatusCode == http.StatusOK {
		return call.resultForAll(classifyResponse(resp)), conn.drain(resp) // the status line alone is reliable
	}
	body, err := conn.readBody(resp)
	defer conn.releaseBody()
	if err != nil {
		slog.Warn("unreadable response", "endpoint", call.Addr, "messages", len(call.Messages), "status", resp.StatusCode, "error", err)
		return call.resultForAll(uncertainResult(resp, interruptedOutcome(ctx))), false
	}
	switch {
	case resp.StatusCode != http.StatusOK:
		results = call.resultForAll(call.resultOfResponse(resp))
	case call.responseTooLate():
		return call.resultForAll(uncertainResult(resp, policy.TimedOut)), false
	default:
		results = call.parseResults(resp, body)
	}
	return results, conn.keepAlive(resp)
}

// settle returns a connection once protocol.ResponseSettleTime has passed since its last response. If the endpoint has closed it by
// then, or has sent more than that response, it returns another idle connection or opens one.
func (p *Pool) settle(ctx context.Context, addr string, c *conn) (*conn, error) {
	for ; c != nil; c = p.popReusable(addr) {
		if !c.reused() {
			return c, nil
		}
		if unsettled := protocol.ResponseSettleTime - clock.Since(c.idleSince); unsettled > 0 && !p.sleep(ctx, unsettled) {
			p.release(addr, c)
			return nil, errNotSettled
		}
		if c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, addr)
}

// dial opens a connection to an address.
func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	opened := newConn(raw)
	opened.memory = p.Memory
	return opened, nil
}

// popReusable removes an idle connection to an address that can still be used from the pool and returns it, or returns nil if there
// is none. It closes those that can't.
func (p *Pool) popReusable(addr string) *conn {
	for c := p.popIdle(addr); c != nil; c = p.popIdle(addr) {
		if c.reusable() && clock.Since(c.idleSince) < p.idleTimeout {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// popIdle removes an idle connection to an address from the pool and returns it, or returns nil if there is none. It prefers the
// most recently used one of those that have settled; if none has, the one that settles first.
func (p *Pool) popIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	i := len(list) - 1
	for i > 0 && clock.Since(list[i].idleSince) < protocol.ResponseSettleTime {
		i--
	}
	c := list[i]
	p.removeIdle(addr, i)
	return c
}

// SetCapacity sets the maximum number of idle connections. Those beyond it are closed.
func (p *Pool) SetCapacity(capacity int) {
	p.mu.Lock()
	p.capacity = capacity
	p.mu.Unlock()
	p.closeIdleIf(func(string, *conn) bool { return p.idleCount > capacity })
}

// release keeps a connection as idle from now on for a later call, or closes it if the pool is full.
func (p *Pool) release(addr string, c *conn) {
	c.idleSince = clock.Now()
	p.keep(addr, c)
}

// keep is release for a connection that no call has used since it was idle.
func (p *Pool) keep(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleCount >= p.capacity {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
	p.idleCount++
}

// removeIdle removes the idle connection with index i from the list of an address. The caller holds the lock.
func (p *Pool) removeIdle(addr string, i int) {
	list := p.idle[addr]
	if list = append(list[:i], list[i+1:]...); len(list) > 0 {
		p.idle[addr] = list
	} else {
		delete(p.idle, addr)
	}
	p.idleCount--
}

// CancelUnwritten cancels the calls to an address that are still waiting for a connection. Such a call ends with
// the outcome NotSent once its connection is open; if the connection cannot be opened, the call ends with that failure.
func (p *Pool) CancelUnwritten(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.canceledAt[addr] = clock.Now()
}

// canceledSince reports whether CancelUnwritten was called for an address at or after a time.
func (p *Pool) canceledSince(addr string, since instant.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.canceledAt[addr]
	return ok && at >= since
}

// DisableKeepAlives closes all idle connections, and makes every later call close its connection.
func (p *Pool) DisableKeepAlives() {
	p.SetCapacity(0)
}

// CloseIdle closes all idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.closeIdleIf(func(a string, _ *conn) bool { return a == addr })
}

// Maintain closes idle connections that have passed the idle time-out or that the endpoint has closed. It also forgets calls of
// CancelUnwritten that are too old to concern a call that still waits for a connection. The owner of the pool calls it
// periodically.
func (p *Pool) Maintain() {
	p.mu.Lock()
	maps.DeleteFunc(p.canceledAt, func(_ string, at instant.Time) bool { return clock.Since(at) > 2*p.dialer.Timeout })
	p.mu.Unlock()
	p.closeIdleIf(func(_ string, c *conn) bool { return clock.Since(c.idleSince) >= p.idleTimeout || !c.reusable() })
}

// closeIdleIf closes the idle connections for which unwanted reports true.
func (p *Pool) closeIdleIf(unwanted func(addr string, c *conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		for i := len(list) - 1; i >= 0; i-- {
			if c := list[i]; unwanted(addr, c) {
				p.removeIdle(addr, i)
				_ = c.Close()
			}
		}
	}
}
