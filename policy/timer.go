package policy

import "milletsail/internal/instant"

// timerState is the timer that the caller was last asked for.
type timerState struct {
	dueAt instant.Time // 0 for none
}

// armTimer asks for a timer when something is next due by time alone.
func (d *Dispatcher) armTimer() {
	next := never
	soon := func(t instant.Time) { next = min(next, max(t, d.now.Add(d.settings.BatchInterval))) }
	soon(d.watch.subscribeAt)
	for _, m := range d.messages.unfinished {
		if m.queue != nil {
			soon(d.finalAttemptAt(m))
			soon(d.idempotencyExpiry(m))
		}
	}
	for _, q := range d.active {
		for _, c := range q.calls {
			for _, factor := range []float64{stalledFactor, unresponsiveFactor, unresponsiveFactor * finalAttemptFactor} {
				if at := d.overdueAt(c, factor); at > d.now && !c.canceled {
					soon(at)
				}
			}
		}
		if len(q.waiting) == 0 {
			continue
		}
		at := max(d.blockedUntil(q), d.now)
		if q.limiter.rate > 0 && d.sendTokens(q) < 1 && !d.isProber(q) {
			at = max(at, d.now.Add(tokenDelay(1-q.limiter.bucket.tokens, q.limiter.rate)))
		}
		if d.singleProber(q) && len(q.endpoints) > 0 {
			at = max(at, d.probeTurn(q.endpoints[0]))
		}
		if at > d.now {
			soon(at)
		}
		for _, ep := range q.endpoints {
			if ep.resourceBackoff.until > d.now {
				soon(max(at, ep.resourceBackoff.until))
			}
			if (ep.outlier.ejected || ep.slowStart.active) && d.slowStartTokens(ep) < 1 {
				soon(max(at, d.now.Add(tokenDelay(1-ep.slowStart.bucket.tokens, d.slowStartBudget(ep, d.timeSinceRecovery(ep))))))
			}
			if turn := d.probeTurn(ep); ep.outlier.ejected && turn > d.now {
				soon(max(at, turn))
			}
		}
	}
	for _, m := range d.keys.blocked {
		soon(m.keyBlockedUntil)
	}
	// A clock with coarser steps than ours may wake us a little before the time: that timer is used up.
	if next < never && (d.timer.dueAt < d.now.Add(d.settings.BatchInterval) || next < d.timer.dueAt) {
		d.timer.dueAt = next
		d.emit(SetTimer{After: next.Sub(d.now)})
	}
}
