package upstream

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/relay/resource"
	"milletsail/policy"
)

// Reservation holds what a call needs of this machine before anything of it may be recorded or written: its memory and, once
// Connected reports true, a connection. It ends with Run, with Release, or with a Connect that fails. It is used by one goroutine
// at a time.
type Reservation struct {
	pool       *Pool
	call       Call
	memory     int64 // bytes taken from Pool.Memory
	conn       *conn // nil until there is one
	reservedAt instant.Time
	deadline   time.Time // end of Call.Timeout
	writeBy    time.Time // end of Call.WriteTimeout; zero for no bound
}

// Reserve takes the memory for a call and, if there is one, an idle connection. It does not block. It returns nil if the calls in
// flight take up all memory that calls may have.
func (p *Pool) Reserve(call Call) *Reservation {
	size := call.memorySize()
	if !p.Memory.TryAcquire(size) {
		slog.Warn("call not started", "endpoint", call.Addr, "messages", len(call.Messages), "error", errNoMemory)
		return nil
	}
	now := time.Now()
	reservation := &Reservation{pool: p, call: call, memory: size, reservedAt: clock.Now(), deadline: now.Add(call.Timeout)}
	if call.WriteTimeout > 0 {
		reservation.writeBy = now.Add(call.WriteTimeout)
	}
	reservation.conn = p.popReusable(call.Addr)
	return reservation
}

// Connected reports whether the reservation has a connection.
func (r *Reservation) Connected() bool { return r.conn != nil }

// Claim returns the claim of the message with index i; nil if the message has none.
func (r *Reservation) Claim(i int) *WriteClaim { return r.call.Messages[i].Claim }

// Connect opens a connection. It returns nil if it has one then; otherwise it releases the reservation and returns the result of
// each message. The outcome is NotStarted if the connection failed on this machine.
func (r *Reservation) Connect(ctx context.Context) []Result {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	writing, done := r.untilWritten(ctx)
	defer done()
	conn, err := r.pool.dial(writing, r.call.Addr)
	if err == nil {
		r.conn = conn
		return nil
	}
	defer r.Release()
	switch {
	case ctx.Err() == nil && writing.Err() != nil:
		return r.notSent()
	case resource.IsLocalFailure(err): // it says nothing about the endpoint's health
		slog.Warn("call not started", "endpoint", r.call.Addr, "messages", len(r.call.Messages), "error", err)
		return r.call.resultForAll(Result{Outcome: policy.NotStarted})
	}
	return r.call.resultForAll(Result{Outcome: policy.ConnectError})
}

// Run makes the call and returns the result of each message, in the order of Call.Messages. When it returns, the call is no longer
// in flight: it was never written, it has its response, or its connection is closed. The outcome is never NotStarted, since the
// caller has recorded the attempts by now.
func (r *Reservation) Run(ctx context.Context) []Result {
	defer r.releaseMemory()
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	writing, done := r.untilWritten(ctx)
	defer done()
	pool, addr := r.pool, r.call.Addr
	conn, err := pool.settle(writing, addr, r.conn)
	switch canceled := pool.canceledSince(addr, r.reservedAt); {
	case errors.Is(err, errNotSettled), ctx.Err() == nil && writing.Err() != nil, err == nil && canceled:
		if err == nil {
			pool.release(addr, conn)
		}
		return r.notSent() // this says nothing about the endpoint's health
	case err != nil && resource.IsLocalFailure(err):
		slog.Warn("call not sent", "endpoint", addr, "messages", len(r.call.Messages), "error", err)
		return r.notSent()
	case err != nil:
		return r.call.resultForAll(Result{Outcome: policy.ConnectError})
	}
	if deadline, ok := writing.Deadline(); ok {
		_ = conn.SetWriteDeadline(deadline)
	}
	claimed := r.call.claimMessages()
	if len(claimed.Messages) == 0 { // all messages ended while the call waited
		pool.release(addr, conn)
		return r.notSent()
	}
	results, reuse := pool.roundTripUntilDone(ctx, conn, claimed)
	if reuse {
		pool.release(addr, conn)
	} else {
		_ = conn.Close()
	}
	return r.call.merge(claimed, results)
}

// Release ends a reservation without a call. Its connection becomes idle again.
func (r *Reservation) Release() {
	r.releaseMemory()
	if r.conn == nil {
		return
	}
	if !r.conn.reused() {
		r.conn.idleSince = clock.Now()
	}
	r.pool.keep(r.call.Addr, r.conn)
}

// releaseMemory gives back the memory of the call.
func (r *Reservation) releaseMemory() { r.pool.Memory.Release(r.memory) }

// untilWritten returns a context that ends when the request must have been written.
func (r *Reservation) untilWritten(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.writeBy.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, r.writeBy)
}

// notSent returns the results of a call of which nothing was written.
func (r *Reservation) notSent() []Result { return r.call.resultForAll(Result{Outcome: policy.NotSent}) }
