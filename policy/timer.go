package policy

import "milletsail/internal/instant"

// stallFactors are the multiples of the usual latency at which callStalled may start to return true for a
// call.
var stallFactors = [...]float64{stalledFactor, unresponsiveFactor, unresponsiveFactor * finalAttemptFactor}

// timerState is the timer that the last SetTimer requested.
type timerState struct {
	dueAt instant.Time // time for which the last timer was requested; 0 before the first
}

// earliestTime is the earliest of several times, but not before notBefore.
type earliestTime struct {
	at        instant.Time
	notBefore instant.Time
}

// add includes a time in the minimum.
func (e *earliestTime) add(at instant.Time) { e.at = min(e.at, max(at, e.notBefore)) }

// armTimer requests a timer for the next time at which a decision is due without any further event.
func (d *Dispatcher) armTimer() {
	soonest := d.now.Add(d.settings.BatchInterval)
	next := earliestTime{at: never, notBefore: soonest}
	next.add(d.watch.subscribeAt)
	for _, m := range d.messages.unfinished {
		if m.queue != nil {
			next.add(d.latestAttemptStart(m))
			next.add(d.idempotencyExpiry(m))
		}
	}
	for _, q := range d.active {
		d.addStallTimes(&next, q)
		if len(q.waiting) > 0 {
			d.addSendTimes(&next, q)
		}
	}
	for _, done := range d.keys.blocked {
		next.add(done.keyBlockedUntil)
	}
	// A caller with a coarser clock may fire the timer slightly before dueAt, after which no timer is
	// pending. So a pending timer that is due before the next batch can start does not count.
	if next.at < never && (d.timer.dueAt < soonest || next.at < d.timer.dueAt) {
		d.timer.dueAt = next.at
		d.emit(SetTimer{After: next.at.Sub(d.now)})
	}
}

// addStallTimes adds the times at which the calls of a queue may count as stalled.
func (d *Dispatcher) addStallTimes(next *earliestTime, q *queue) {
	for _, c := range q.calls {
		for _, factor := range stallFactors {
			if at := c.overdueAt(factor); at > d.now && !c.canceled {
				next.add(at)
			}
		}
	}
}

// addSendTimes adds the times at which a queue, or one of its endpoints, may get another call.
func (d *Dispatcher) addSendTimes(next *earliestTime, q *queue) {
	sendAt := d.nextSendTime(q)
	if sendAt > d.now {
		next.add(sendAt)
	}
	for _, ep := range q.endpoints {
		if ep.resourceBackoff.until > d.now {
			next.add(max(sendAt, ep.resourceBackoff.until))
		}
		if d.limitedBySlowStart(ep) && !d.slowStartAllows(ep) {
			next.add(max(sendAt, d.now.Add(d.slowStartWait(ep))))
		}
		if turn := d.probeTurn(ep); ep.outlier.ejected && turn > d.now {
			next.add(max(sendAt, turn))
		}
	}
}

// nextSendTime returns the time from which pauses, the send rate and probe turns let a queue send a call.
func (d *Dispatcher) nextSendTime(q *queue) instant.Time {
	at := max(d.blockedUntil(q), d.now)
	if q.limiter.rate > 0 && d.sendTokens(q) < 1 && !d.isProber(q) {
		at = max(at, d.now.Add(tokenDelay(1-q.limiter.bucket.tokens, q.limiter.rate)))
	}
	if q.singleProber(d.now) && len(q.endpoints) > 0 {
		at = max(at, d.probeTurn(q.endpoints[0]))
	}
	return at
}
