package policy

import "slices"

// CallLimit is the mechanism that limited the calls to an endpoint when one of them was started, for logs.
type CallLimit int

// The limits of a call, beside the send rate of its queue.
const (
	// Unlimited means that the endpoint counted as healthy.
	Unlimited CallLimit = iota
	// UnlimitedAfterFailure means that the endpoint counted as healthy, although the last call of this relay
	// that ended there had failed, or one had failed within the last SlowStartWindow.
	UnlimitedAfterFailure
	// UnlimitedBesideFailure means that the endpoint counted as healthy, although the last call of this relay
	// to another endpoint of the same queue had failed, or that endpoint was ejected or in slow start.
	UnlimitedBesideFailure
	// SlowStartBudget means that the endpoint was in slow start, and that its budget allowed the call.
	SlowStartBudget
	// SuspicionBudget means that the endpoint was suspected to be in an outage (suspected), and that the slow
	// start budget allowed the call.
	SuspicionBudget
	// ProbeBudget means that the endpoint was ejected, and that the slow start budget allowed a probe.
	ProbeBudget
	// ProbeTurn means that the endpoint was ejected, and that it was this relay's turn to probe it.
	ProbeTurn
)

var callLimitNames = [...]string{
	Unlimited:              "none",
	UnlimitedAfterFailure:  "none after a failure",
	UnlimitedBesideFailure: "none beside a failure",
	SlowStartBudget:        "slow start budget",
	SuspicionBudget:        "budget after a failure",
	ProbeBudget:            "probe by budget",
	ProbeTurn:              "probe by turn",
}

// String returns the name of a limit for logs and metrics.
func (l CallLimit) String() string { return callLimitNames[l] }

// callLimit returns the limit under which a call to an endpoint is started now.
func (d *Dispatcher) callLimit(ep *endpoint) CallLimit {
	switch {
	case ep.outlier.ejected && d.probeTurn(ep) > 0:
		return ProbeTurn
	case ep.outlier.ejected:
		return ProbeBudget
	case d.limitedBySuspicion(ep):
		return SuspicionBudget
	case ep.slowStart.active:
		return SlowStartBudget
	case ep.outlier.notified || d.failedRecently(ep):
		return UnlimitedAfterFailure
	case d.failingSibling(ep):
		return UnlimitedBesideFailure
	}
	return Unlimited
}

// failingSibling reports whether another endpoint of the same queue may be in an outage, or in slow start.
func (d *Dispatcher) failingSibling(ep *endpoint) bool {
	return slices.ContainsFunc(ep.queue.endpoints, func(sibling *endpoint) bool {
		limited := sibling.outlier.ejected || sibling.outlier.notified || sibling.slowStart.active
		return sibling != ep && limited
	})
}

// failedRecently reports whether a call of this relay to an endpoint has failed within SlowStartWindow.
func (d *Dispatcher) failedRecently(ep *endpoint) bool {
	failedAt := ep.outlier.lastFailureAt
	return failedAt > 0 && d.now.Sub(failedAt) < d.settings.SlowStartWindow
}
