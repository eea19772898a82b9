// Package policy decides what a dispatcher of notifications does with its messages. All decisions and all
// constants are in this file; the interface (settings, events, actions) is in policy/api.go.
//
// The ordinary path is Hyytiä's admission control for parallel first-come queues: an arriving message is
// refused at once when the backlog of its destination leaves it no time, tightened by the value-function
// bound. Everything else here is a guard for what the paper does not treat.
package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"milletsail/internal/instant"
)

const (
	// minDeliveryValue of its worth a message must still have when it is delivered, while more arrive for its
	// queue than can leave: what is admitted later than that takes the place of one that would be on time.
	minDeliveryValue = 0.8
	// latencyWeight is the weight of a new outcome in a mean latency: about the last ten calls count.
	latencyWeight = 0.1
	// counterTimeConstant is the time constant of λ and r: a few arrivals a queue, but follows a jump of traffic.
	counterTimeConstant = 10 * time.Second
	// ejectionThreshold failures in a row mark an endpoint sick; single errors are ordinary. An error or a
	// broken connection counts for errorResponseWeight: something is alive there.
	ejectionThreshold, errorResponseWeight = 2, 0.5
	// circuitOpenAfter of nothing but refusals, or told to wait, means that the destination is shut rather than at
	// its limit: longer than the spans in which receivers commonly count calls.
	circuitOpenAfter = 2500 * time.Millisecond
	// unresponsiveFactor mean latencies without an outcome make an endpoint silent. stalledFactor of them a call may
	// be called off where its slot is wanted and such calls, mostly, are never answered; finalAttemptFactor times
	// as late one whose message then fails: a slot serves a message worth as much in each mean latency.
	unresponsiveFactor, stalledFactor, finalAttemptFactor, unansweredThreshold = 6, 3, 2, 0.5
	// maxUnhealthyCalls for a silent or sick endpoint: one call that may be stuck, one that tries.
	maxUnhealthyCalls = 2
	// slowStartSafety of the rule's budget for a cold destination is used: the rest is for other relays' uneven
	// shares and for chance; lowRateSlowStartSafety where many relays have less than a call each in the rule's span
	// (with second knocks of half of those refused, it never reaches the rule's two thirds of what is too
	// much). slowStartBurst may go at once.
	slowStartSafety, lowRateSlowStartSafety, secondProbeProbability, slowStartBurst = 0.8, 0.42, 0.5, 1.0 / 3
	// maxQueueSlotShare of the slots, and overloadThreshold of the holding room once that is filled, is what the queue that
	// holds most may have: no queue takes them all.
	maxQueueSlotShare, overloadThreshold = 0.5, 0.75
	// Refusals cut a pace to rateDecreaseFactor once in burstSpan, to minRateShare of the even share at least: limits are
	// lowered too, and refused calls use them up. It climbs by rateIncreaseGain a second for each second since then,
	// maxQuietTime at most, so slowly near a limit; beyond probingRateShare even shares only while messages wait.
	rateDecreaseFactor, minRateShare, rateIncreaseGain, probingRateShare, maxQuietTime = 0.85, 0.15, 0.06, 1.5, 5 * time.Second
	// minRemainingAllowance of its allowance a destination must report for a pace to rise, where it reports at all.
	minRemainingAllowance = 0.5
	// connectionLimitIncrease is added to a learned connection cap by each success.
	connectionLimitIncrease = 0.05
	// lowRateCalls a span: a relay with an even share of less meets a destination by chance.
	lowRateCalls = 0.5
	// rateWindow of pace may be sent at once: receivers count calls in spans of about this length.
	rateWindow = time.Second
	// timeoutShare of the time left is waited for an answer where the message may be sent again, and
	// minTimeoutLatencies mean latencies at least, so that slow receivers are not timed out for nothing.
	timeoutShare, minTimeoutLatencies = 1.0 / 3, 8
	// initialBackoff is the first pause after a refusal that told no wait, maxBackoff the longest: about the
	// longest span in which receivers count calls.
	initialBackoff, maxBackoff = 100 * time.Millisecond, 2 * time.Second
	// connectErrorReporters of the relays that meet the same lack of room in a span tell the others, in the mean: a fleet's
	// notes go from each to all, and what many meet at once one of them can say.
	connectErrorReporters = 8
	// resubscribeDelay is the wait before a failed subscription is asked for again.
	resubscribeDelay = 500 * time.Millisecond
	// stateIdleTimeout without work, state kept on demand may go: counters with counterAge have faded, paces have
	// climbed back, and latencies need not be what they were. At most maxEvictionsPerBatch go in a batch.
	stateIdleTimeout, maxEvictionsPerBatch = 2 * time.Minute, 32
)

// Handle takes in the events of one batch and returns what is to be done, in order.
func (d *Dispatcher) Handle(now instant.Time, events []Event) []Action {
	d.now, d.actions = max(now, d.now), nil
	for _, m := range slices.Clone(d.blockingKeys) {
		d.releaseKey(m)
	}
	// Changes of the list go first: a Directory has them already, and what else a batch brings is to meet the
	// same list with one as without.
	for _, e := range events {
		if listed, ok := e.(EndpointsUpdated); ok {
			d.updateEndpoints(listed)
		}
	}
	var fresh []*message
	for _, e := range events {
		if m := d.handleEvent(e); m != nil {
			fresh = append(fresh, m)
		}
	}
	if d.now >= d.subscribeAt {
		d.subscribeAt = never
		d.emit(Subscribe{})
	}
	for _, m := range fresh {
		if !m.done {
			d.admit(m)
		}
	}
	d.evaluateZones()
	d.evaluateCanaries()
	d.expireMessages()
	d.dispatch()
	d.cancelStalledCalls()
	d.publishRate()
	d.deactivateIdle()
	d.evictIdle()
	d.armTimer()
	return d.actions
}

// --- Admission: the paper's mechanism ---

// admit refuses an arriving message at once or puts it into a queue.
func (d *Dispatcher) admit(m *message) {
	q := d.selectQueue(m)
	q.arrivals.add(d.now, 1)
	left := m.expiresAt.Sub(d.now).Seconds()
	u, x := d.queueingDelay(q), q.byClass[m.Class]
	λ, r := q.arrivals.rate(d.now), q.misses.rate(d.now)
	d.recordVirtualArrival(q, left-x)
	if λ*q.sendInterval(d.now) > 1 {
		left = math.Min(left, d.overloadAgeLimit(m.class).Seconds()) // little time left need not be age
	}
	room := overloadThreshold * float64(d.settings.QueueCapacity)
	much := float64(len(q.waiting)) > room/2 || q.allEjected() // those that are out leave room for the others
	crowded := float64(len(d.unfinished)) > room && much || len(d.unfinished) > d.settings.QueueCapacity
	if crowded {
		d.reject(m, u+2*x-left, ReasonOverloaded)
		return
	}
	if exceedsDelayBound(u, x, left-x, λ-r, len(q.waiting) > 0) {
		d.reject(m, u+2*x-left, ReasonBacklog)
		return
	}
	d.enqueue(q, m)
}

// overloadAgeLimit is the age at which a class, or one worth as much or more that would wait behind it, falls
// under keepWorth: messages worth little and patient must not fill a queue against urgent ones.
func (d *Dispatcher) overloadAgeLimit(c *Class) time.Duration {
	age := c.ageAt(minDeliveryValue)
	for i := range d.settings.Classes {
		if k := &d.settings.Classes[i]; k.PriorityWeight >= c.PriorityWeight {
			age = min(age, k.ageAt(minDeliveryValue))
		}
	}
	return age
}

// concurrency is how many calls of a queue are out at once: in a wait or an outage, as many as there were before.
func (q *queue) concurrency(now instant.Time) float64 {
	n := math.Max(1, float64(len(q.calls)))
	if now < max(q.retryAfterUntil, q.backoffUntil) || q.resourcesExhausted(now) || q.allEjected() {
		return math.Max(n, q.typicalConcurrency)
	}
	return n
}

// sendInterval is the time between messages that a queue sends one after another.
func (q *queue) sendInterval(now instant.Time) float64 {
	pitch := q.callsFor(1) * q.mean / q.concurrency(now)
	if q.sendRate > 0 {
		pitch = math.Max(pitch, 1/(q.sendRate*float64(q.maxBatch)))
	}
	return pitch
}

// exceedsDelayBound is the rule of the paper: the basic rule u > τ, and where messages are held the
// value-function bound (λ−r)(u+x−τ) ≥ 1 (which holds for every u once x ≥ τ + 1/(λ−r)).
func exceedsDelayBound(u, x, τ, net float64, held bool) bool {
	if u > τ {
		return true
	}
	return net > 0 && held && u > 0 && (net*(u+x-τ) >= 1 || x >= τ+1/net)
}

// queueingDelay is u: calls that the messages held ahead travel in × mean latency ÷ calls out, and at least what
// a wait, a pace or a ramp implies; zero with a slot free and nothing held.
func (d *Dispatcher) queueingDelay(q *queue) float64 {
	u := q.callsFor(len(q.waiting)) * d.currentLatency(q) / q.concurrency(d.now)
	return math.Max(u, d.timeToNextCall(q, len(q.waiting)))
}

// currentLatency is the mean latency of a queue with the ages of calls out counted in, so that a hang shows
// before any outcome.
func (d *Dispatcher) currentLatency(q *queue) float64 {
	mean := q.mean
	for _, c := range q.calls {
		if age := d.now.Sub(c.sentAt).Seconds(); age > mean {
			mean += latencyWeight * (age - mean)
		}
	}
	return mean
}

// timeToNextCall is the time until the next call of a queue may leave with n messages ahead of it, as far as
// waits, pace and health tell.
func (d *Dispatcher) timeToNextCall(q *queue, n int) float64 {
	wait := math.Max(0, (d.blockedUntil(q).Sub(d.now)).Seconds())
	calls := q.callsFor(n)
	if q.sendRate > 0 && !d.isProber(q) {
		wait = math.Max(wait, (calls+1-d.sendTokens(q))/q.sendRate)
	}
	ramp := math.Inf(1)
	for _, ep := range q.endpoints {
		if !ep.ejected && !ep.slowStarting {
			return wait
		}
		// The next trial, and if it succeeds the others at the budget of a half-warm endpoint.
		first := math.Max(0, 1-d.slowStartTokens(ep)) / math.Max(1e-9, d.slowStartBudget(ep, d.timeSinceRecovery(ep)))
		if d.isProber(q) {
			first = math.Min(first, math.Max(0, (d.probeTurn(ep).Sub(d.now)).Seconds()))
		}
		half := d.slowStartBudget(ep, max(d.timeSinceRecovery(ep), d.settings.SlowStartWindow/2)) * float64(len(q.endpoints))
		ramp = math.Min(ramp, first+calls/math.Max(1e-9, half))
	}
	if len(q.endpoints) == 0 {
		return wait
	}
	return math.Max(wait, ramp)
}

// selectQueue chooses the queue of a message. Among routes apart it takes the least added cost, in the manner
// of the paper's rule (25): worth lost by lateness, the fee, and the work left (priced so that a whole
// deadline of it costs one message).
func (d *Dispatcher) selectQueue(m *message) *queue {
	dest := d.destination(m.Destination)
	best, least := dest.queues[0], math.Inf(1)
	for _, q := range dest.queues {
		d.applyLatencyPrior(q)
		if !q.separateRoute || !q.acceptsCalls() {
			continue
		}
		done := d.queueingDelay(q) + math.Max(q.byClass[m.Class], d.currentLatency(q))
		late := m.expiresAt.Sub(d.now) - time.Duration(math.Min(done, 1e6)*float64(time.Second))
		cost := m.class.PriorityWeight*(1-m.class.valueAt(m.class.Deadline-late)) +
			d.meanPriority*done/m.class.Deadline.Seconds()
		if zone := q.endpoints[0].Zone; zone >= 0 && zone < len(d.settings.ZoneCost) {
			cost += d.settings.ZoneCost[zone] * d.meanPriority
		}
		if cost < least {
			best, least = q, cost
		}
	}
	return best
}

// --- Sending ---

// dispatch gives free slots in turns to the queues that can send: fewest calls out first, and among these
// the message whose worth falls first.
func (d *Dispatcher) dispatch() {
	for d.callsInFlight < d.settings.Slots && !d.stopping {
		var best *queue
		var ep *endpoint
		var first *message
		for _, q := range d.active {
			if best != nil && len(q.calls) > len(best.calls) {
				continue
			}
			e, m := d.nextSendable(q)
			if m != nil && (best == nil || len(q.calls) < len(best.calls) || d.valueDeadline(m) < d.valueDeadline(first)) {
				best, ep, first = q, e, m
			}
		}
		if best == nil {
			return
		}
		d.startCall(best, ep, first)
	}
}

// valueDeadline is when a message falls under keepWorth; what is under it already comes after all others.
func (d *Dispatcher) valueDeadline(m *message) instant.Time {
	at := m.expiresAt.Add(-m.class.Deadline).Add(m.class.ageAt(minDeliveryValue))
	if at < d.now {
		at = at.Add(time.Hour)
	}
	return at
}

// cancelStalledCalls calls off calls that are out far longer than usual, so that their messages can be sent again. It
// guards against lost calls and answers, and against hangs that fill the slots, whatever the cause; it
// costs the work of a call that was merely slow, so calls are taken later with each attempt, and those
// that no later call has overtaken only for want of a slot. A call that may not be repeated is taken for
// want of a slot alone, finalFactor times as late: its message fails, but the slot serves others.
func (d *Dispatcher) cancelStalledCalls() {
	if !d.settings.CanCancel {
		return
	}
	want := d.callsInFlight >= d.settings.Slots && slices.ContainsFunc(d.active, func(q *queue) bool {
		_, m := d.nextSendable(q)
		return m != nil
	})
	for _, q := range d.active {
		for _, c := range q.calls {
			again := d.callRetryable(c)
			lost := again && c.endpoint.succeededCallAt > c.sentAt // a call that began later has succeeded
			factor := d.stalledCallFactor()
			if !again {
				factor *= finalAttemptFactor
			}
			due := lost && d.now >= d.overdueAt(c, unresponsiveFactor) || want && d.now >= d.overdueAt(c, factor)
			if c.canceled || !due {
				continue
			}
			want = want && lost
			d.cancelCall(c)
		}
	}
}

// stalledCallFactor is the number of mean latencies after which a wanted slot is taken back: sooner where late
// calls have mostly not been answered at all (loss, hangs) than where they have (slowness, heavy work).
func (d *Dispatcher) stalledCallFactor() float64 {
	if d.unansweredShare > unansweredThreshold {
		return stalledFactor
	}
	return unresponsiveFactor
}

// callRetryable tells whether every message of a call may be sent again after it.
func (d *Dispatcher) callRetryable(c *call) bool {
	for _, m := range c.messages {
		if m.class.Effect == NotIdempotent || !d.retryAllowed(m, nil) || len(m.attempts) >= d.settings.MaxAttempts {
			return false
		}
	}
	return true
}

// overdueAt is when a call has been out for far longer than usual.
func (d *Dispatcher) overdueAt(c *call, factor float64) instant.Time {
	usual := math.Max(c.endpoint.queue.mean, c.endpoint.lastLatency)
	for _, m := range c.messages {
		usual = math.Max(usual, c.endpoint.queue.byClass[m.Class])
	}
	if usual == 0 {
		return never
	}
	tries := math.Pow(2, float64(len(c.messages[0].attempts)-1))
	return c.sentAt.Add(time.Duration(factor * tries * usual * float64(time.Second)))
}

// nextSendable tells which message a queue would send now and where, if any.
func (d *Dispatcher) nextSendable(q *queue) (*endpoint, *message) {
	most := max(1, int(math.Ceil(maxQueueSlotShare*float64(d.settings.Slots))))
	if len(q.waiting) == 0 || d.now < q.retryAfterUntil || len(q.calls) >= most {
		return nil, nil
	}
	tries := d.isProber(q)
	if (d.now < q.backoffUntil || q.sendRate > 0 && d.sendTokens(q) < 1) && !tries {
		return nil, nil
	}
	if d.singleProber(q) && (!tries || d.now < d.probeTurn(q.endpoints[0])) {
		return nil, nil
	}
	for _, m := range q.waiting {
		if d.attemptAllowed(m) {
			if ep := d.selectEndpoint(q, m); ep != nil {
				return ep, m
			}
		}
	}
	return nil, nil
}

// attemptAllowed tells whether the rules allow another attempt of a held message now.
func (d *Dispatcher) attemptAllowed(m *message) bool {
	if len(m.attempts) >= d.settings.MaxAttempts || d.now >= m.expiresAt {
		return false
	}
	if d.storageReadOnly && m.class.Effect != Idempotent { // a later process might send it again
		return false
	}
	if m.class.Ordered && m.Key != "" {
		if line := d.orderedKeys[m.Key]; line[0] != m {
			return false
		}
	}
	return true
}

// retryAllowed tells whether effects allow another attempt, at ep if it is given.
func (d *Dispatcher) retryAllowed(m *message, ep *endpoint) bool {
	first := m.firstPossibleExecution()
	switch {
	case first == nil || m.class.Effect == Idempotent:
		return true
	case m.class.Effect == NotIdempotent || ep != nil && m.class.KeysPerZone && first.call.endpoint.Zone != ep.Zone:
		return false
	}
	return d.now < d.idempotencyExpiry(m)
}

// selectEndpoint chooses where in a queue a message goes: a sick endpoint whose trial is due, else a healthy
// one with the fewest calls out, in the relay's own zone, with an idle connection, used last.
func (d *Dispatcher) selectEndpoint(q *queue, m *message) *endpoint {
	var best *endpoint
	home := d.targetZone(q)
	for _, ep := range q.endpoints {
		second := ep.ejected && len(m.attempts) > 0 && len(q.endpoints) > 1
		if second || d.canaryWithheld(ep) || !d.acceptsCall(ep) || d.avoidsZone(ep, m) || !d.retryAllowed(m, ep) {
			continue
		}
		if best == nil || d.preferred(m, home, ep, best) {
			best = ep
		}
	}
	return best
}

// preferred tells whether the first of two endpoints that are open is chosen for a message.
func (d *Dispatcher) preferred(m *message, home int, a, b *endpoint) bool {
	return cmp.Or(
		cmp.Compare(indicator(a.ejected), indicator(b.ejected)),               // its trial is due
		cmp.Compare(indicator(d.hasBaseline(a)), indicator(d.hasBaseline(b))), // its share is
		cmp.Compare(indicator(d.unresponsive(b)), indicator(d.unresponsive(a))),
		cmp.Compare(m.failureScore(b), m.failureScore(a)),
		cmp.Compare(indicator(d.settings.Zones && a.Zone == home), indicator(d.settings.Zones && b.Zone == home)),
		cmp.Compare(len(b.calls), len(a.calls)),
		cmp.Compare(indicator(a.Zone == d.settings.Zone), indicator(b.Zone == d.settings.Zone)),
		cmp.Compare(a.lastUsedAt, b.lastUsedAt)) > 0
}

// failureScore counts what speaks against an endpoint for a message: failures of its class in a row, and a
// try of its own, the last, that did not succeed. An endpoint may fail one class and serve the others.
func (m *message) failureScore(ep *endpoint) float64 {
	n := ep.classFailures[m.Class]
	if i := len(m.attempts); i > 0 && m.attempts[i-1].call.endpoint == ep {
		n++
	}
	return n
}

// acceptsCall tells whether an endpoint may get a call now.
func (d *Dispatcher) acceptsCall(ep *endpoint) bool {
	if ep.Draining || ep.Removed || d.now < ep.resourceBackoff.until {
		return false
	}
	if ep.connectionLimit > 0 && float64(len(ep.calls)+1) > ep.connectionLimit {
		return false
	}
	if ep.ejected {
		trials := 0
		for _, c := range ep.calls {
			if c.sentAt >= ep.ejectedAt {
				trials++
			}
		}
		if turn := d.probeTurn(ep); turn > 0 {
			return trials == 0 && d.now >= turn
		}
		return trials < maxUnhealthyCalls && d.slowStartTokens(ep) >= 1
	}
	if ep.slowStarting && d.slowStartTokens(ep) < 1 {
		return false
	}
	return !d.unresponsive(ep) || len(ep.calls) < maxUnhealthyCalls
}

// unresponsive tells whether an endpoint has a call out for far longer than usual and no success since it.
func (d *Dispatcher) unresponsive(ep *endpoint) bool {
	if len(ep.calls) == 0 || ep.queue.mean == 0 {
		return false
	}
	return ep.lastSuccessAt <= ep.calls[0].sentAt && d.now >= d.overdueAt(ep.calls[0], unresponsiveFactor)
}

// attemptTimeout is how long an answer is waited for; an unsafe message waits to its end, since after a
// time-out it could only be failed.
func (d *Dispatcher) attemptTimeout(m *message, c *call) time.Duration {
	left := m.expiresAt.Sub(d.now)
	if m.class.Effect == NotIdempotent || len(m.attempts) >= d.settings.MaxAttempts {
		return 0
	}
	wait := math.Max(timeoutShare*left.Seconds(), minTimeoutLatencies*c.endpoint.queue.mean)
	return min(left, time.Duration(wait*float64(time.Second)))
}

// --- Pace ---

// slowStartBudget is the calls a second that this relay may make to an endpoint that has been back for so long:
// its part of what the rule on returning destinations allows. Where no weight is told, one call in
// each span of the rule.
func (d *Dispatcher) slowStartBudget(ep *endpoint, back time.Duration) float64 {
	share := 1.0
	if d.settings.SlowStartWindow > 0 {
		share = d.settings.SlowStartInitialShare + (1-d.settings.SlowStartInitialShare)*float64(back)/float64(d.settings.SlowStartWindow)
	}
	weight := ep.queue.listedRate
	if weight == 0 {
		weight = float64(d.settings.FleetSize)
	}
	safety := slowStartSafety
	if d.hasLowRate(ep.queue) {
		safety = lowRateSlowStartSafety
	}
	all := safety * d.settings.OverloadFactor * share * weight
	return all * d.trafficShare(ep.queue) / d.relayCount() / float64(max(1, len(ep.queue.endpoints)))
}

// --- Outcomes ---

// handleAttemptEnded takes in the outcome of an attempt.
func (d *Dispatcher) handleAttemptEnded(e AttemptEnded) {
	m, c := d.closeAttempt(e)
	if c == nil {
		return
	}
	if e.RetryAfter > 0 { // it binds whatever became of the message, and calls that are not written yet
		c.endpoint.queue.retryAfterUntil = max(c.endpoint.queue.retryAfterUntil, d.now.Add(min(e.RetryAfter, never.Sub(d.now))))
		for _, ep := range c.endpoint.queue.endpoints {
			d.emit(CancelUnwritten{Endpoint: ep.ID})
		}
	}
	switch {
	case e.Outcome == NotStarted:
		d.recordNotStarted(c)
	case c.openAttempts == 0:
		c.endpoint.recordStarted()
		d.recordOutcome(c, m, e)
		if len(c.endpoint.calls) == 0 && d.connectionsFull(c.endpoint) {
			d.emit(CloseIdleConnections{Endpoint: c.endpoint.ID})
		}
	}
	if e.Outcome == TimedOut || e.Outcome == Reset || e.Outcome == Canceled {
		m.keyBlockedUntil = d.now.Add(d.settings.OrderedKeyDelay)
	}
	switch {
	case e.Completed || e.Outcome == OK:
		d.complete(m)
	case m.done:
		d.releaseKey(m)
	case m.openAttempts > 0:
	case e.AttemptsExhausted || len(m.attempts) >= d.settings.MaxAttempts:
		d.abandon(m, ReasonAttemptsExhausted)
	case d.now >= m.expiresAt.Add(-d.settings.BatchInterval):
		d.abandon(m, ReasonNoTimeLeft)
	case !d.retryAllowed(m, nil):
		d.abandon(m, ReasonNotRetryable)
	default:
		d.enqueue(d.selectQueue(m), m)
	}
}

// recordOutcome draws from a call's end what it tells, by its own time: a relay without turns hears late of it.
func (d *Dispatcher) recordOutcome(c *call, m *message, e AttemptEnded) {
	ep, q := c.endpoint, c.endpoint.queue
	if e.Latency <= 0 {
		e.Latency = d.now.Sub(c.sentAt)
	}
	took := min(e.Latency, m.class.Deadline).Seconds()
	if c.sentAt.Add(e.Latency) >= d.overdueAt(c, stalledFactor) {
		d.unansweredShare *= 1 - latencyWeight
		if e.Outcome != OK {
			d.unansweredShare += latencyWeight
		}
	}
	d.recordLocalLoad(ep, e)
	d.analyzeOutcome(ep, m, e, q.byClass[m.Class] > 0 && took > stalledFactor*q.byClass[m.Class])
	switch e.Outcome {
	case OK:
		if c.sentAt < ep.connectErrorAt { // the endpoint served us while it turned another's connection away
			ep.connectionsFullAt = d.now
		}
		ep.succeededCallAt, ep.lastLatency = max(ep.succeededCallAt, c.sentAt), took
		q.record(m.Class, took)
		q.typicalConcurrency += latencyWeight * (float64(len(q.calls)+1) - q.typicalConcurrency)
		d.latencyPrior(q.kind).record(m.Class, took)
		ep.classFailures[m.Class] = 0
		if ep.ejected && c.sentAt < ep.ejectedAt && d.now < q.retryAfterUntil {
			break // begun before the destination shut: it says nothing of its return
		}
		d.recordSuccess(ep, e.LoadReport == nil || e.LoadReport.Remaining >= minRemainingAllowance)
		open := limitMessage{accepted: true, destination: q.destination.number, callAge: d.now.Sub(c.sentAt)}
		if (d.closeCircuit(q, open) || q.peerReport.observers > 0) && d.settings.Gossip {
			q.peerReport = peerReport{}
			d.emit(Broadcast{Message: open.encode()})
		}
	case Rejected:
		d.recordRejection(q, limitMessage{destination: q.destination.number, retryAfter: e.RetryAfter, callAge: d.now.Sub(c.sentAt)})
	case ConnectError:
		if d.settings.Gossip && d.now >= ep.connectErrorAt.Add(rateWindow) {
			ep.connectErrorAt = d.now
			if d.random.Float64()*float64(d.settings.FleetSize) < connectErrorReporters {
				d.emit(Broadcast{Message: encodeEndpointMessage(connectErrorType, ep.ID)})
			}
		}
		if ep.lastSuccessAt > c.sentAt {
			// Others get through: the endpoint takes no more connections, it is not down.
			ep.connectionLimit = math.Max(1, float64(len(ep.calls)))
			return
		}
		d.recordFailure(ep, c, 1)
	case Failed, Reset:
		d.recordFailure(ep, c, errorResponseWeight)
	case TimedOut, Canceled:
		if took > stalledFactor*q.mean && (e.Outcome == TimedOut || c.canceled) {
			d.recordFailure(ep, c, 1)
		}
	}
}

// recordSuccess notes a success: an endpoint that was sick starts its ramp.
func (d *Dispatcher) recordSuccess(ep *endpoint, room bool) {
	q := ep.queue
	ep.consecutiveFailures, ep.lastSuccessAt, q.lastSuccessAt = 0, d.now, d.now
	if ep.connectionLimit > 0 {
		ep.connectionLimit += connectionLimitIncrease // other relays close idle connections
	}
	if ep.ejected && d.mayRecover(ep) {
		d.startSlowStart(ep, math.Max(d.slowStartTokens(ep), d.initialTokens(ep)), false)
		if d.settings.Gossip {
			d.emit(Broadcast{Message: encodeEndpointMessage(endpointRecoveredType, ep.ID)})
		}
		q.peerReport = peerReport{}
		for _, other := range q.endpoints {
			other.peerReport = peerReport{}
			other.tokens = math.Max(other.tokens, 1) // outages mostly end for a whole destination
		}
	}
	q.consecutiveRejections, q.outageSuspected = 0, false
	if !room { // calm starts anew
		q.decreasedAt = max(q.decreasedAt, d.now.Add(-rateWindow))
	}
}

// startSlowStart starts the ramp of an endpoint that was sick, with what of a call may go at once.
func (d *Dispatcher) startSlowStart(ep *endpoint, tokens float64, hearsay bool) {
	d.setEjected(ep, false)
	ep.slowStarting, ep.recoveredAt, ep.consecutiveFailures, ep.queue.outageSuspected = true, d.now, 0, false
	ep.tokens, ep.updatedAt = tokens, d.now
	clear(ep.classFailures) // the outage's: else none that failed there would ever try it again
	d.emit(PersistHealth{Endpoint: ep.ID, At: d.now, SecondHand: hearsay})
}

// recordFailure notes a failure of an endpoint; one of a call sent before its last success tells nothing new.
func (d *Dispatcher) recordFailure(ep *endpoint, c *call, n float64) {
	for _, m := range c.messages {
		ep.classFailures[m.Class] += n / float64(len(c.messages))
	}
	if ep.lastSuccessAt > c.sentAt {
		return
	}
	ep.consecutiveFailures, ep.lastFailureAt = ep.consecutiveFailures+n, d.now
	if ep.consecutiveFailures >= ejectionThreshold || d.probeBudgetSpent(ep.queue, 1) && 2*ep.consecutiveFailures >= ejectionThreshold {
		d.eject(ep)
	}
}

// initialTokens is what a budget of less than a call a span starts with: a chance part of a call, so that of many
// relays with a call in a minute each some try at any time, and the total is what the rule allows.
func (d *Dispatcher) initialTokens(ep *endpoint) float64 {
	return math.Max(0, d.random.Float64()-d.slowStartBudget(ep, d.timeSinceRecovery(ep))*d.settings.OverloadWindow.Seconds())
}

// eject marks an endpoint sick and lets the messages of its route choose again.
func (d *Dispatcher) eject(ep *endpoint) { d.ejectEndpoint(ep, false) }

func (d *Dispatcher) ejectEndpoint(ep *endpoint, hearsay bool) {
	if ep.ejected {
		return
	}
	d.setEjected(ep, true)
	ep.slowStarting, ep.ejectedAt, ep.queue.outageSuspected = false, d.now, true
	ep.tokens, ep.updatedAt = d.initialTokens(ep), max(d.now, ep.queue.retryAfterUntil)
	d.emit(PersistHealth{Endpoint: ep.ID, Ejected: true, At: d.now, SecondHand: hearsay || d.isolated})
	if ep.queue.separateRoute {
		d.reroute(ep.queue)
	}
}

// recordRejection notes a refusal by the destination, and tells the other relays what they do not know of it; a run of
// refusals is a destination that is shut.
func (d *Dispatcher) recordRejection(q *queue, l limitMessage) {
	if q.consecutiveRejections++; q.consecutiveRejections == 1 {
		q.firstRejectionAt = d.now
	}
	tried := d.isProber(q) // for all: they have to know
	if until := d.openCircuit(q, l); d.settings.Gossip && !q.separateRoute && (tried || until > q.announcedUntil.Add(initialBackoff)) {
		q.announcedUntil = until
		d.emit(Broadcast{Message: l.encode()})
	}
	shut := l.retryAfter > circuitOpenAfter || q.consecutiveRejections > ejectionThreshold && d.now.Sub(q.firstRejectionAt) > circuitOpenAfter
	if shut || !d.settings.Gossip && d.probeBudgetSpent(q, q.consecutiveRejections) {
		for _, ep := range q.endpoints {
			d.eject(ep)
		}
	}
}

// handleGossip takes in a note of another relay: it is evidence of a refusal like one of our own, but for health, or
// that an endpoint that is sick here has answered there, or has taken no connection.
func (d *Dispatcher) handleGossip(note []byte) {
	d.lastGossipAt = d.now
	if ep := d.endpoints[decodeEndpointMessage(endpointRecoveredType, note)]; ep != nil && ep.ejected && d.mayRecover(ep) {
		d.startSlowStart(ep, d.random.Float64(), true) // all hear at once, and saved tokens are a call of each
	}
	if ep := d.endpoints[decodeEndpointMessage(connectErrorType, note)]; ep != nil {
		ep.connectErrorAt = d.now
	}
	d.handleCanaryMessage(note)
	l, ok := decodeLimitMessage(note)
	if !ok {
		return
	}
	switch q := d.sharedQueue(l.destination, !l.accepted); {
	case q == nil:
	case l.accepted:
		d.closeCircuit(q, l)
	default:
		q.announcedUntil = max(q.announcedUntil, d.openCircuit(q, l))
	}
}

// openCircuit takes in that a destination refuses calls, for a wait if one is told, and gives the end of the
// pause. All who learn of it come down at once, and come back apart, each at a chance part of its own pace.
func (d *Dispatcher) openCircuit(q *queue, l limitMessage) (until instant.Time) {
	q.rejectedCallAt = max(q.rejectedCallAt, d.now.Add(-l.callAge))
	wait := l.retryAfter
	if wait <= 0 { // a moment: a steady rate has room again at once; twice as long if that was not enough
		if d.now < q.backoffUntil {
			return q.backoffUntil
		}
		if q.backoff *= 2; d.now > q.backoffUntil.Add(q.backoff) {
			q.backoff = initialBackoff
		}
		wait = time.Duration((0.5 + d.random.Float64()) * float64(q.backoff))
	}
	until = d.now.Add(min(wait, maxBackoff))
	if d.now >= q.decreasedAt.Add(rateWindow) {
		d.increaseRate(q)
		q.sendRate = math.Max(minRateShare*d.evenShare(q), math.Min(q.sendRate*rateDecreaseFactor, (q.sendRate+d.evenShare(q))/2))
		q.decreasedAt = d.now
	}
	if until > q.backoffUntil {
		q.backoffUntil, q.tokens, q.updatedAt = until, d.random.Float64(), until
	}
	return until
}

// closeCircuit ends a pause, but for a wait that we were told, if a call sent well after the one that was refused
// was taken: a rate has room again at once, where a count has none until its span is over.
func (d *Dispatcher) closeCircuit(q *queue, l limitMessage) bool {
	if d.now >= q.backoffUntil || d.now.Add(-l.callAge) < q.rejectedCallAt.Add(initialBackoff/2) {
		return false
	}
	q.backoffUntil, q.announcedUntil, q.tokens, q.updatedAt = d.now, d.now, d.random.Float64(), d.now
	return true
}

// increaseRate lets a pace rise while no refusal is heard of. One relay of many has a success in some seconds: its
// own come too seldom to tell.
func (d *Dispatcher) increaseRate(q *queue) {
	calmFrom := max(q.decreasedAt, q.backoffUntil)
	from := max(q.increasedAt, calmFrom)
	q.increasedAt = d.now
	most := q.listedRate
	if d.hasLowRate(q) && d.now > d.lastGossipAt.Add(rateWindow) {
		most = d.evenShare(q) // cut off, nobody hears of the others' refusals
	}
	if d.now > from && q.sendRate < most && (q.sendRate < probingRateShare*d.evenShare(q) || len(q.waiting) > 0) && !q.allEjected() {
		rise := rateIncreaseGain * min(d.now.Sub(calmFrom), maxQuietTime).Seconds() * d.now.Sub(from).Seconds()
		q.sendRate = math.Min(q.sendRate*math.Exp(rise), most)
	}
}

// --- Ends ---

// expireMessages gives final answers to held messages that have no time left for another attempt of mean latency,
// and to those that cannot be sent again any more.
func (d *Dispatcher) expireMessages() {
	var ended []*message
	for _, m := range d.unfinished {
		if m.queue != nil && (d.now >= d.finalAttemptAt(m) || !d.retryAllowed(m, nil)) {
			ended = append(ended, m)
		}
	}
	for _, m := range ended {
		reason := ReasonNoTimeLeft
		if !d.retryAllowed(m, nil) {
			reason = ReasonNotRetryable
		}
		d.abandon(m, reason)
	}
}

// finalAttemptAt is when a held message is given up: its time left is then its expected latency.
func (d *Dispatcher) finalAttemptAt(m *message) instant.Time {
	x := time.Duration(m.queue.byClass[m.Class] * float64(time.Second))
	return m.expiresAt.Add(-max(2*d.settings.BatchInterval, x))
}

// nearDeadline tells whether a message's time may be up before a call with it ends, which ends the call for all its
// messages: such share calls with their like.
func (d *Dispatcher) nearDeadline(q *queue, m *message) bool {
	return m.expiresAt.Sub(d.now).Seconds() < stalledFactor*q.byClass[m.Class]
}

// abandon ends a message: a refusal where trying again is harmless, which tells when its queue may send next,
// else a failure.
func (d *Dispatcher) abandon(m *message, why Reason) {
	keyedEverywhere := m.class.Effect == IdempotentWithKey && !m.class.KeysPerZone
	if m.firstPossibleExecution() == nil || m.class.Effect == Idempotent || keyedEverywhere {
		q := d.selectQueue(m)
		d.reject(m, d.timeToNextCall(q, len(q.waiting)), why)
		return
	}
	d.emit(Fail{ID: m.ID, Reason: why})
	d.complete(m)
}

func (d *Dispatcher) reject(m *message, after float64, why Reason) {
	stay := time.Duration(math.Min(math.Max(0, after), d.settings.MaxRetryAfter.Seconds()) * float64(time.Second))
	d.emit(Reject{ID: m.ID, RetryAfter: stay, Reason: why})
	d.complete(m)
}

// hasLowRate tells whether a second knock is more than this relay's part of what a cold destination takes.
func (d *Dispatcher) hasLowRate(q *queue) bool {
	return q.listedRate > 0 && d.evenShare(q)*rateWindow.Seconds() < lowRateCalls
}

// probeBudgetSpent tells whether n failures or refusals are all that may be seen before the budget is kept to. That
// costs what the budget holds back where the destination was only at its limit; others, who were not
// refused, use the room. Half of the relays may knock once more, by chance, but not after a told wait,
// when all would; and an outage that began after a success just now is not about to end.
func (d *Dispatcher) probeBudgetSpent(q *queue, n int) bool {
	if !d.hasLowRate(q) || q.lastSuccessAt > 0 && d.now.Sub(q.lastSuccessAt) <= circuitOpenAfter {
		return false
	}
	return n >= ejectionThreshold || d.now < q.retryAfterUntil || d.random.Float64() < secondProbeProbability
}

// --- State on demand ---

// evictable tells whether nothing that is known of an idle queue binds: no wait, pause or finding of the
// fleet in force, no refusals or failures in a row, no outage or return from one, no connection limit, no
// trial, and no part of its pace that is used up. What is forgotten then are estimates.
func (d *Dispatcher) evictable(q *queue) bool {
	allowance, depth := q.tokenBucket, math.Max(1, q.sendRate*rateWindow.Seconds())
	used := q.sendRate > 0 && allowance.refill(d.now, q.sendRate, depth) < depth
	paused := d.now < max(q.retryAfterUntil, q.backoffUntil, q.announcedUntil, q.peerRateUntil)
	if used || paused || q.peerReport.valid(d.now) || q.consecutiveRejections > 0 || q.outageSuspected {
		return false
	}
	return !slices.ContainsFunc(q.endpoints, d.endpointInUse)
}

// endpointInUse tells whether something that is known of an endpoint without a call out binds.
func (d *Dispatcher) endpointInUse(ep *endpoint) bool {
	cold := ep.ejected || ep.slowStarting && d.timeSinceRecovery(ep) < d.settings.SlowStartWindow
	capped := d.connectionsFull(ep) && d.now.Sub(max(ep.lastUsedAt, ep.connectionsFullAt)) < d.settings.IdleConnTimeout
	paused := d.now < ep.resourceBackoff.until
	return cold || capped || paused || ep.consecutiveFailures > 0 || ep.canary != nil || ep.peerReport.valid(d.now)
}
