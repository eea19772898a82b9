package relay

import (
	"context"
	"slices"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/relay/upstream"
	"milletsail/policy"
)

// outgoingCall is a call from its reservation to its end. It passes these steps:
//
//   - reserveCalls takes what the call needs. Without memory its attempts end as NotStarted, and nothing is recorded of them.
//   - If no idle connection is left, connectCalls opens one, and the call waits for the next batch.
//   - beginAttempts records the start of its attempts. From here on every process counts them.
//   - startCalls makes the call once the records are written, or revokes the attempts if they can't be.
type outgoingCall struct {
	sends       []send
	reservation *upstream.Reservation
	startedAt   instant.Time // when connectCalls or startCalls started it
	begin       chan bool    // tells a call that has opened a connection whether to go on; nil for other calls
}

// end returns the event that reports the results of the call's attempts.
func (c *outgoingCall) end(results []upstream.Result) callEnded {
	all := make(callEnded, len(c.sends))
	for i, s := range c.sends {
		all[i] = s.end(clock.Since(c.startedAt), results[i])
	}
	return all
}

// reserveCalls reserves what the calls of the batch need. It returns the calls that have a connection, those of earlier batches
// included, and those that have to open one.
func (l *loop) reserveCalls() (ready, unconnected []*outgoingCall) {
	ready = l.batch.connected
	sends := l.batch.sends
	l.batch.connected, l.batch.sends = nil, nil
	for len(sends) > 0 {
		n := 1
		for n < len(sends) && sends[n].call == sends[0].call { // the sends of one call are adjacent
			n++
		}
		call := &outgoingCall{sends: sends[:n:n]}
		sends = sends[n:]
		call.reservation = l.pool.Reserve(l.newCall(call.sends))
		switch {
		case call.reservation == nil:
			l.completeUnstarted(call)
		case call.reservation.Connected():
			ready = append(ready, call)
		default:
			unconnected = append(unconnected, call)
		}
	}
	return ready, unconnected
}

// beginAttempts records the start of the attempts of calls that have all they need. A message that has ended since it was added to
// its call is left out of it.
func (l *loop) beginAttempts(calls []*outgoingCall) {
	for _, call := range calls {
		for _, s := range call.sends {
			if s.message.ended {
				s.message.cancel()
				continue
			}
			l.journal.StartAttempt(s.message.Entry, s.endpoint.Host, s.sentAt)
			s.message.attempt, s.message.begun = s.attempt, true
		}
	}
}

// startCalls makes calls whose attempts are recorded. If the journal could not be written, it revokes those that need their record.
func (l *loop) startCalls(ctx context.Context, calls []*outgoingCall, written bool) {
	for _, call := range calls {
		permitted := written || !l.needsRecord(call)
		if !permitted {
			l.revokeAttempts(call)
		}
		switch {
		case call.begin != nil:
			call.begin <- permitted
		case permitted:
			ctx, cancel := l.attachCall(ctx, call)
			go func() {
				defer cancel()
				l.enqueue(call.end(call.reservation.Run(ctx)))
			}()
		default:
			call.reservation.Release()
		}
	}
}

// connectCalls opens connections for calls in a goroutine each, which then waits until the call's attempts are recorded. If the
// journal could not be written, the attempts of calls that need their record end at once.
func (l *loop) connectCalls(ctx context.Context, calls []*outgoingCall, written bool) {
	for _, call := range calls {
		if !written && l.needsRecord(call) {
			call.reservation.Release()
			l.completeUnstarted(call)
			continue
		}
		call.begin = make(chan bool, 1)
		callCtx, cancel := l.attachCall(ctx, call)
		go func() {
			defer cancel()
			if failed := call.reservation.Connect(callCtx); failed != nil {
				l.enqueue(call.end(failed))
				return
			}
			l.enqueue(callConnected{call})
			select {
			case permitted := <-call.begin:
				if permitted {
					l.enqueue(call.end(call.reservation.Run(callCtx)))
					return
				}
			case <-ctx.Done(): // the loop ends
			}
			call.reservation.Release()
		}()
	}
}

// attachCall makes the messages of a call cancel their part of it, and returns the context for the call. Canceling ctx cancels the
// call, and so does canceling all of its messages.
func (l *loop) attachCall(ctx context.Context, call *outgoingCall) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	call.startedAt = clock.Now()
	waiting := len(call.sends)
	for i, s := range call.sends {
		claim := call.reservation.Claim(i)
		canceled := false
		s.message.call, s.message.attempt = s.call, s.attempt
		s.message.cancel = func() {
			if canceled {
				return
			}
			canceled = true
			claim.Acquire()
			if waiting--; waiting == 0 {
				cancel()
			}
		}
	}
	return ctx, cancel
}

// needsRecord reports whether a call must not be made before its attempts are recorded. After a crash, a process that finds no
// record repeats an attempt, which is harmless only in an idempotent class. A message whose acceptance was not recorded is not sent
// either.
func (l *loop) needsRecord(call *outgoingCall) bool {
	return slices.ContainsFunc(call.sends, func(s send) bool {
		class := l.cfg.Policy.Classes[l.classIndex(s.message.Class)]
		return class.Effect != policy.Idempotent || s.message.responses != nil
	})
}

// revokeAttempts ends the attempts of a call that must not be made, since their records could not be written.
func (l *loop) revokeAttempts(call *outgoingCall) {
	for _, s := range call.sends {
		if s.message.begun {
			l.journal.RevokeAttempt(s.message.Entry)
			s.message.begun = false
		}
	}
	l.completeUnstarted(call)
}

// completeUnstarted ends the attempts of a call that could not be started.
func (l *loop) completeUnstarted(call *outgoingCall) {
	for _, s := range call.sends {
		l.completeUnsent(s, policy.NotStarted)
	}
}
