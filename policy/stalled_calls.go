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
	// lateFailureThreshold is the share of late calls without a success above which they count as mostly
	// unanswered.
	lateFailureThreshold = 0.5
)

// recordLateness takes in the outcome of a call that was late by stalledFactor.
func (s *slotScheduler) recordLateness(outcome Outcome, late bool) {
	if !late {
		return
	}
	s.lateFailureShare *= 1 - latencyWeight
	if outcome != OK {
		s.lateFailureShare += latencyWeight
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

// cancelStalledCalls cancels calls that are out far longer than usual, so that their messages can be sent
// again. It guards against lost calls and answers, and against hangs that take all slots, whatever the cause.
// The price is the work of a call that was merely slow: so it waits longer with each attempt, and cancels a
// call that no later one has overtaken only where a slot is wanted. A call that may not be retried is
// canceled for a wanted slot alone, finalAttemptFactor times as late: its message fails, but the slot serves
// others.
func (d *Dispatcher) cancelStalledCalls() {
	if !d.settings.CanCancel {
		return
	}
	slotWanted := d.slots.inUse >= d.settings.Slots && slices.ContainsFunc(d.active, func(q *queue) bool {
		_, m := d.nextSendable(q)
		return m != nil
	})
	for _, q := range d.active {
		for _, c := range q.calls {
			stalled, overtaken := d.callStalled(c, slotWanted)
			if c.canceled || !stalled {
				continue
			}
			slotWanted = slotWanted && overtaken
			d.cancelCall(c)
		}
	}
}

// callStalled reports whether a call is to be canceled, and whether it may be retried and one that was sent
// later to the same endpoint has succeeded.
func (d *Dispatcher) callStalled(c *call, slotWanted bool) (stalled, overtaken bool) {
	retryable := d.callRetryable(c)
	overtaken = retryable && c.endpoint.succeededCallAt > c.sentAt
	factor := d.slots.stalledCallFactor()
	if !retryable {
		factor *= finalAttemptFactor
	}
	lost := overtaken && d.now >= c.overdueAt(unresponsiveFactor)
	return lost || slotWanted && d.now >= c.overdueAt(factor), overtaken
}

// stalledCallFactor is the number of mean latencies after which a wanted slot is taken back: sooner where
// late calls mostly had no success at all (loss, hangs) than where they had (slowness, heavy work).
func (s *slotScheduler) stalledCallFactor() float64 {
	if s.lateFailureShare > lateFailureThreshold {
		return stalledFactor
	}
	return unresponsiveFactor
}

// overdueAt is when a call has been out for a multiple of its usual latency, which doubles with each attempt
// of its first message, or never where the latency is unknown.
func (c *call) overdueAt(factor float64) instant.Time {
	latency := &c.endpoint.queue.latency
	usual := math.Max(latency.mean, c.endpoint.lastLatency)
	for _, m := range c.messages {
		usual = math.Max(usual, latency.byClass[m.Class])
	}
	if usual == 0 {
		return never
	}
	doubled := math.Pow(2, float64(len(c.messages[0].attempts)-1))
	return c.sentAt.Add(time.Duration(factor * doubled * usual * float64(time.Second)))
}

// unresponsive reports whether an endpoint has a call out for far longer than usual and no success since it
// was sent.
func (ep *endpoint) unresponsive(now instant.Time) bool {
	if len(ep.calls) == 0 || ep.queue.latency.mean == 0 {
		return false
	}
	oldest := ep.calls[0]
	return ep.outlier.lastSuccessAt <= oldest.sentAt && now >= oldest.overdueAt(unresponsiveFactor)
}
