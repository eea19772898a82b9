package policy

import (
	"math"
	"slices"
	"time"

	"milletsail/internal/instant"
)

const (
	// unresponsiveFactor is the number of mean latencies without an outcome that makes an endpoint
	// unresponsive.
	unresponsiveFactor = 6
	// stalledFactor is the number of mean latencies after which a call may be canceled where its slot is
	// wanted and late calls mostly remain unanswered.
	stalledFactor = 3
	// finalAttemptFactor multiplies these for a call whose message fails with it: a slot serves a message of
	// the same value in each mean latency.
	finalAttemptFactor = 2
	// unansweredThreshold is the share of late calls without a success above which they count as mostly
	// unanswered.
	unansweredThreshold = 0.5
)

// recordLateness takes in the outcome of a call that was late by stalledFactor.
func (s *slotScheduler) recordLateness(outcome Outcome, late bool) {
	if !late {
		return
	}
	s.unansweredShare *= 1 - latencyWeight
	if outcome != OK {
		s.unansweredShare += latencyWeight
	}
}

// cancelCall ends the wait for a call.
func (d *Dispatcher) cancelCall(c *call) {
	c.canceled = true
	for _, m := range c.messages {
		if i := len(m.attempts) - 1; m.attempts[i].call == c && m.attempts[i].open {
			d.emit(Cancel{ID: m.ID, Attempt: i})
		}
	}
}

// cancelStalledCalls calls off calls that are out far longer than usual, so that their messages can be sent
// again. It guards against lost calls and answers, and against hangs that fill the slots, whatever the cause;
// it costs the work of a call that was merely slow, so calls are taken later with each attempt, and those
// that no later call has overtaken only for want of a slot. A call that may not be repeated is taken for want
// of a slot alone, finalFactor times as late: its message fails, but the slot serves others.
func (d *Dispatcher) cancelStalledCalls() {
	if !d.settings.CanCancel {
		return
	}
	want := d.slots.inUse >= d.settings.Slots && slices.ContainsFunc(d.active, func(q *queue) bool {
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

// stalledCallFactor is the number of mean latencies after which a wanted slot is taken back: sooner where
// late calls have mostly not been answered at all (loss, hangs) than where they have (slowness, heavy work).
func (d *Dispatcher) stalledCallFactor() float64 {
	if d.slots.unansweredShare > unansweredThreshold {
		return stalledFactor
	}
	return unresponsiveFactor
}

// overdueAt is when a call has been out for far longer than usual.
func (d *Dispatcher) overdueAt(c *call, factor float64) instant.Time {
	usual := math.Max(c.endpoint.queue.latency.mean, c.endpoint.lastLatency)
	for _, m := range c.messages {
		usual = math.Max(usual, c.endpoint.queue.latency.byClass[m.Class])
	}
	if usual == 0 {
		return never
	}
	tries := math.Pow(2, float64(len(c.messages[0].attempts)-1))
	return c.sentAt.Add(time.Duration(factor * tries * usual * float64(time.Second)))
}

// unresponsive tells whether an endpoint has a call out for far longer than usual and no success since it.
func (d *Dispatcher) unresponsive(ep *endpoint) bool {
	if len(ep.calls) == 0 || ep.queue.latency.mean == 0 {
		return false
	}
	return ep.outlier.lastSuccessAt <= ep.calls[0].sentAt && d.now >= d.overdueAt(ep.calls[0], unresponsiveFactor)
}
