// Package upstream makes calls to endpoints over a pool of connections, and tells for each message of a call whether it may
// have been executed.
package upstream

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/relay/resource"
	"milletsail/policy"
)

// idleTimeoutShare is how much of the time after which endpoints close an idle connection the pool keeps it: a request that
// crosses the endpoint's close ends as a reset. With 0.95 endpoints closed some first, and goodput gained nothing.
const idleTimeoutShare = 0.8

// Pool makes calls to endpoints over connections that carry one call at a time. It is not an http.Transport, since that
// sends a request with an Idempotency-Key again by itself when a cached connection breaks, which is a second execution, and
// does not tell whether the last byte was written, which separates "not executed" from "may have been executed".
//
// A pool is safe for concurrent use. It starts no goroutines: connections are closed by the callers of its methods.
type Pool struct {
	dialer      net.Dialer
	idleTimeout time.Duration
	// written counts the messages whose last byte was written.
	written *atomic.Int64

	mu         sync.Mutex
	capacity   int                // idle connections at most
	idle       map[string][]*conn // by address, the one used last at the end
	idleCount  int
	canceledAt map[string]instant.Time // by address, when unwritten calls were last canceled
}

// NewPool returns a pool that keeps at most capacity idle connections, each for less time than endpoints do, which close one
// after endpointIdleTimeout. It counts written messages in written.
func NewPool(connectTimeout, endpointIdleTimeout time.Duration, capacity int, written *atomic.Int64) *Pool {
	return &Pool{dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}, capacity: capacity, idle: map[string][]*conn{},
		canceledAt: map[string]instant.Time{}, written: written,
		idleTimeout: time.Duration(idleTimeoutShare * float64(endpointIdleTimeout))}
}

// Do makes one call and returns a result for each of its messages, in their order. When it returns, the call is off the
// wire: it was answered, or its connection is closed.
func (p *Pool) Do(ctx context.Context, call Call) []Result {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	writing := ctx
	if call.WriteTimeout > 0 {
		bounded, done := context.WithTimeout(ctx, call.WriteTimeout)
		defer done()
		writing = bounded
	}
	started := clock.Now()
	conn, err := p.acquire(writing, call.Addr)
	if ctx.Err() == nil && writing.Err() != nil || err == nil && p.canceledSince(call.Addr, started) {
		if err == nil {
			p.release(call.Addr, conn)
		}
		return call.resultForAll(Result{Outcome: policy.NotSent}) // too late to write it, which tells nothing of the endpoint
	}
	if err != nil && resource.IsLocalFailure(err) {
		slog.Warn("call not started", "endpoint", call.Addr, "messages", len(call.Messages), "error", err)
		return call.resultForAll(Result{Outcome: policy.NotStarted}) // which tells nothing of the endpoint either
	}
	if err != nil {
		return call.resultForAll(Result{Outcome: policy.ConnectError})
	}
	if deadline, ok := writing.Deadline(); ok {
		_ = conn.SetWriteDeadline(deadline)
	}
	claimed := call.claimMessages()
	if len(claimed.Messages) == 0 { // all have ended while the connection came up
		p.release(call.Addr, conn)
		return call.resultForAll(Result{Outcome: policy.NotSent})
	}
	results, reuse := p.carry(ctx, conn, claimed)
	if reuse {
		p.release(call.Addr, conn)
	} else {
		_ = conn.Close()
	}
	return call.merge(claimed, results)
}

// carry makes a call on a connection, until ctx ends. reuse reports whether the connection may carry another.
func (p *Pool) carry(ctx context.Context, conn *conn, call Call) (results []Result, reuse bool) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(pastDeadline) })
	results, reuse = p.roundTrip(ctx, conn, call)
	return results, stop() && reuse
}

// merge returns the results of all messages of a call, of which only the claimed ones were written.
func (c Call) merge(claimed Call, results []Result) []Result {
	all := c.resultForAll(Result{Outcome: policy.NotSent})
	for i, m := range claimed.Messages {
		all[c.indexOf(m.ID)] = results[i]
	}
	return all
}

// roundTrip writes a request and reads its response; reuse reports whether the connection may carry another.
func (p *Pool) roundTrip(ctx context.Context, conn *conn, call Call) (results []Result, reuse bool) {
	deadline, _ := ctx.Deadline()
	out, err := call.encode(ctx, time.Until(deadline)) // by the monotonic reading that every deadline of a context holds
	if err != nil {
		return call.resultForAll(Result{Outcome: policy.ConnectError}), false
	}
	conn.callErr = ctx.Err
	if n, _ := conn.Write(out); n < len(out) {
		return call.resultForAll(Result{Outcome: policy.ConnectError}), false // the last byte never left: it was not executed
	}
	p.written.Add(int64(len(call.Messages)))
	single := len(call.Messages) == 1
	resp, err := conn.readResponse(single) //nolint:bodyclose // a Close would read on; the connection is closed or drained instead
	if err != nil && resp != nil && single {
		return call.resultForAll(classifyResponse(resp)), false // its status line is true, whatever else it lacks
	}
	if err != nil {
		return call.resultForAll(Result{Outcome: interruptedOutcome(ctx)}), false
	}
	if single || resp.StatusCode != http.StatusOK {
		results = call.resultForAll(call.resultOfResponse(resp))
	} else {
		// Only the complete body tells the messages' results.
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return call.resultForAll(Result{Outcome: interruptedOutcome(ctx)}), false
		}
		if call.responseTooLate() {
			late := classifyResponse(resp)
			late.Outcome, late.Completed = policy.TimedOut, false
			return call.resultForAll(late), false // a Retry-After that it brings counts all the same
		}
		results = call.parseResults(resp, body)
	}
	return results, conn.drain(resp)
}

// drain reads off the rest of a response, and reports whether the connection may carry another call.
func (c *conn) drain(resp *http.Response) bool {
	c.stallTimeout = 0
	_ = c.SetDeadline(time.Now().Add(bodyDrainTimeout))
	_, err := io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close && c.reader.Buffered() == 0 && c.SetDeadline(time.Time{}) == nil
}

// acquire returns an idle connection that is still open, or a new one.
func (p *Pool) acquire(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	for list := p.idle[addr]; len(list) > 0; list = p.idle[addr] {
		c := list[len(list)-1]
		p.removeIdle(addr, len(list)-1)
		if c.reusable() && clock.Since(c.idleSince) < p.idleTimeout {
			p.mu.Unlock()
			return c, nil
		}
		_ = c.Close()
	}
	p.mu.Unlock()
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	return newConn(raw), nil
}

// release keeps a connection for the next call, or closes it where the pool is full.
func (p *Pool) release(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleCount >= p.capacity {
		_ = c.Close()
		return
	}
	c.idleSince = clock.Now()
	p.idle[addr] = append(p.idle[addr], c)
	p.idleCount++
}

// removeIdle removes connection i from an address's list. The caller holds the lock.
func (p *Pool) removeIdle(addr string, i int) {
	list := p.idle[addr]
	if list = append(list[:i], list[i+1:]...); len(list) > 0 {
		p.idle[addr] = list
	} else {
		delete(p.idle, addr)
	}
	p.idleCount--
}

// CancelUnwritten has the calls to an address that still wait for a connection return unwritten.
func (p *Pool) CancelUnwritten(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.canceledAt[addr] = clock.Now()
}

// canceledSince reports whether unwritten calls to an address were canceled since a time.
func (p *Pool) canceledSince(addr string, since instant.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.canceledAt[addr]
	return ok && at >= since
}

// DisableKeepAlives closes the idle connections and keeps none from now on.
func (p *Pool) DisableKeepAlives() {
	p.mu.Lock()
	p.capacity = 0
	p.mu.Unlock()
	p.closeIdleIf(func(string, *conn) bool { return true })
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.closeIdleIf(func(a string, _ *conn) bool { return a == addr })
}

// Sweep closes idle connections that are too old, or that the endpoint has closed, and drops cancellations that are older
// than any call that still waits for a connection. Its owner calls it from time to time.
func (p *Pool) Sweep() {
	p.mu.Lock()
	maps.DeleteFunc(p.canceledAt, func(_ string, at instant.Time) bool { return clock.Since(at) > 2*p.dialer.Timeout })
	p.mu.Unlock()
	p.closeIdleIf(func(_ string, c *conn) bool { return clock.Since(c.idleSince) >= p.idleTimeout || !c.reusable() })
}

// closeIdleIf closes the idle connections that are unwanted.
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
