package relay

import (
	"context"
	"log/slog"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/endpoints"
	"milletsail/internal/instant"
	"milletsail/internal/journal"
	"milletsail/internal/relay/upstream"
	"milletsail/policy"
)

// execute carries out one action other than an end.
func (l *loop) execute(now instant.Time, a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		l.send(now, a)
	case policy.Cancel:
		if m := l.messages[a.ID]; m != nil && m.cancel != nil && a.Attempt == len(m.Attempts)-1 {
			l.afterCommit = append(l.afterCommit, m.cancel)
		}
	case policy.CancelUnwritten:
		if h, ok := l.endpoints.table.Get(a.Endpoint); ok {
			l.afterCommit = append(l.afterCommit, func() { l.pool.CancelUnwritten(h.Dial) })
		}
	case policy.CloseIdleConnections:
		if h, ok := l.endpoints.table.Get(a.Endpoint); ok {
			l.afterCommit = append(l.afterCommit, func() { l.pool.CloseIdle(h.Dial) })
		}
	case policy.SetTimer:
		// The module has one timer and asks anew only where the one it has is no use to it any more.
		l.timerAt = now.Add(a.After)
	case policy.Subscribe:
		l.watcher.Request()
	case policy.Broadcast:
		l.afterCommit = append(l.afterCommit, func() { l.broadcast(a.Message) })
	case policy.PersistHealth:
		if _, ok := l.endpoints.table.Get(a.Endpoint); ok {
			l.journal.RecordHealth(a.Endpoint, journal.HealthRecord{Ejected: a.Ejected, ChangedAt: a.At})
			if !a.SecondHand {
				l.fleet.ObserveHealth(a.Endpoint, a.Ejected)
			}
		}
	case policy.ZoneStateChanged:
		slog.Info("zone", "zone", a.Zone, "state", a.State)
	case policy.CanaryStageChanged:
		slog.Info("new endpoint", "host", a.Endpoint, "share", a.Share, "held", max(0, a.SuspendedUntil.Sub(now)))
	case policy.PublishRate:
		l.fleet.ObserveRate(a.Destination, a.RateShare, a.ArrivalRate)
	}
}

// send is a message of a call that the module wants made.
type send struct {
	message      *message
	call         int
	attempt      int
	endpoint     endpoints.Entry
	timeout      time.Duration
	writeTimeout time.Duration // to be written in; 0 for no bound
	expiresAt    instant.Time  // when the message is given up
}

// send notes an attempt and makes it ready to go.
func (l *loop) send(now instant.Time, a policy.Send) {
	m := l.messages[a.ID]
	if m == nil || m.ended {
		return
	}
	h, ok := l.endpoints.table.Get(a.Endpoint)
	left := m.ExpiresAt.Sub(now)
	s := send{message: m, call: a.Call, attempt: len(m.Attempts), endpoint: h, timeout: left, writeTimeout: a.WriteTimeout, expiresAt: m.ExpiresAt}
	if a.Timeout > 0 {
		s.timeout = min(left, a.Timeout)
	}
	l.journal.StartAttempt(m.Entry, a.Endpoint, now)
	if !ok || h.Block != m.Dest {
		// Guards the protocol's rule that a message goes only to a listed host of its destination.
		slog.Error("send to a host that is not of the destination", "host", a.Endpoint, "dest", m.Dest)
		l.completeUnsent(s, policy.NotSent)
		return
	}
	l.sends = append(l.sends, s)
}

// completeUnsent reports an attempt that was not made.
func (l *loop) completeUnsent(s send, why policy.Outcome) {
	l.completeAttempt(attemptEnded{id: s.message.ID, attempt: s.attempt, endpoint: s.endpoint.Host, Result: upstream.Result{Outcome: why}})
}

// responseMargin before the time of a message is up, an answer to a call that it shares with others counts for none of them.
// The platform counts that time from when the request was sent, so it ends earlier there by the relay's delay in reading
// the request. The protocol allows 50 ms on each of its time limits.
const responseMargin = 50 * time.Millisecond

// responseDeadline is when the answer to a call with several messages has to be read to count: answerMargin before the time of
// any of them is up. A message with little time left keeps half of it for the call.
func responseDeadline(now instant.Time, sends []send) (by instant.Time) {
	for _, s := range sends {
		due := s.expiresAt.Add(-min(responseMargin, s.expiresAt.Sub(now)/2))
		if by.IsZero() || due < by {
			by = due
		}
	}
	return by
}

// batchTimeout is how long a call with several messages may last: until two ticks before the time of any of them is up,
// which is when the module gives up a message that it holds.
func batchTimeout(now instant.Time, sends []send, tick time.Duration) time.Duration {
	left := sends[0].timeout
	for _, s := range sends {
		left = max(left, s.timeout)
	}
	for _, s := range sends {
		left = min(left, s.expiresAt.Sub(now)-2*tick)
	}
	return max(left, tick)
}

// startCall makes a call in a goroutine of its own. Its messages share its fate: it is given up for all of them shortly before
// the time of one is up, and for none while any of them is still waited for.
func (l *loop) startCall(sends []send) {
	ctx, cancel := context.WithCancel(l.calls)
	r := upstream.Call{Addr: sends[0].endpoint.Dial}
	end := func(s send, took time.Duration, res upstream.Result) attemptEnded {
		return attemptEnded{id: s.message.ID, attempt: s.attempt, endpoint: s.endpoint.Host, latency: took, Result: res}
	}
	waiting := len(sends)
	r.Timeout = sends[0].timeout
	if len(sends) > 1 {
		now := clock.Now()
		r.Timeout, r.ResponseDeadline = batchTimeout(now, sends, l.cfg.Policy.BatchInterval), responseDeadline(now, sends)
	}
	for _, s := range sends {
		p := upstream.Message{ID: s.message.ID, Key: s.message.Key, Body: s.message.Body, Claim: new(upstream.WriteClaim)}
		r.Messages = append(r.Messages, p)
		if s.writeTimeout > 0 && (r.WriteTimeout == 0 || s.writeTimeout < r.WriteTimeout) {
			r.WriteTimeout = s.writeTimeout
		}
		called := false
		s.message.call = s.call
		s.message.cancel = func() {
			if !called {
				called = true
				p.Claim.Take()
				if waiting--; waiting == 0 {
					cancel()
				}
			}
		}
	}
	go func() {
		defer cancel()
		begun := clock.Now()
		results := l.pool.Do(ctx, r)
		all := make(callEnded, len(sends))
		for i, s := range sends {
			all[i] = end(s, clock.Since(begun), results[i])
		}
		l.enqueue(all)
	}()
}
