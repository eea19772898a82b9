package policy

import (
	"math"
	"slices"
	"time"

	"milletsail/internal/instant"
)

const (
	// unresponsiveFactor is the multiple of the usual latency (see overdueAt) after which a call without an
	// outcome makes its endpoint count as unresponsive, if no call has succeeded there since it was sent.
	unresponsiveFactor = 6
	// stalledFactor is the multiple of the usual latency (see overdueAt) after which a call may be canceled
	// if its slot is wanted and late calls mostly fail.
	stalledFactor = 3
	// finalAttemptFactor multiplies these factors for a call that may not be retried, since canceling it
	// fails its message. Its slot can serve one message of the same value in each further mean latency.
	finalAttemptFactor = 2
	// lateFailureThreshold is the lateFailureShare above which late calls are taken to mostly fail.
	lateFailureThreshold = 0.5
)

// recordLateness updates lateFailureShare with the outcome of a call, if it was late by stalledFactor.
func (s *slotScheduler) recordLateness(outcome Outcome, late bool) {
	if !late {
		return
	}
	s.lateFailureShare *= 1 - latencyWeight
	if outcome != OK {
		s.lateFailureShare += latencyWeight
	}
}

// cancelCall cancels the open attempts of a call.
func (d *Dispatcher) cancelCall(c *call) {
	c.canceled = true
	for _, m := range c.messages {
		if i := len(m.attempts) - 1; m.attempts[i].call == c && m.attempts[i].open {
			d.emit(Cancel{ID: m.ID, Attempt: i})
		}
	}
}

// cancelStalledCalls cancels calls that take far longer than usual, so that their messages can be retried. It
// guards against lost calls and answers, and against hangs that occupy all slots, whatever their cause. Where
// a call was merely slow, its work is wasted, so:
//
//   - a call waits twice as long with each further attempt of its message;
//   - a call that no later call has overtaken is canceled only if a slot is wanted;
//   - a call that may not be retried is canceled only if a slot is wanted, and finalAttemptFactor times as
//     late: its message fails, but the slot serves other messages.
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

// callStalled reports whether a call should be canceled, and whether it was overtaken: it may be retried, and
// a call that was sent to the same endpoint later has succeeded.
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

// stalledCallFactor returns the multiple of the usual latency (see overdueAt) after which a call is canceled
// if its slot is wanted. It is lower if late calls mostly fail, as with losses and hangs, than if they
// mostly succeed, as with slow destinations and heavy work.
func (s *slotScheduler) stalledCallFactor() float64 {
	if s.lateFailureShare > lateFailureThreshold {
		return stalledFactor
	}
	return unresponsiveFactor
}

// overdueAt returns the time at which a call has taken a multiple of its usual latency: the highest of the
// queue's mean latency, its mean for each class in the call, and the endpoint's last latency. The usual
// latency doubles with each further attempt of the call's first message. The result is never if no latency
// is known.
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

// unresponsive reports whether the oldest call in flight to an endpoint takes far longer than usual and no
// call has succeeded there since it was sent.
func (ep *endpoint) unresponsive(now instant.Time) bool {
	if len(ep.calls) == 0 || ep.queue.latency.mean == 0 {
		return false
	}
	oldest := ep.calls[0]
	return ep.outlier.lastSuccessAt <= oldest.sentAt && now >= oldest.overdueAt(unresponsiveFactor)
}
