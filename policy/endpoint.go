package policy

import "milletsail/internal/instant"

// endpoint is the state of one listed endpoint.
type endpoint struct {
	Endpoint
	queue *queue
	calls []*call // calls in flight, in the order of sending

	outlier         outlierDetector
	slowStart       slowStartState
	connections     connectionLimiter
	resourceBackoff resourceBackoff // pause after a call that local resources did not suffice for
	peerReport      peerReport
	canary          *canaryState // nil for an endpoint that is not a canary

	lastUsedAt      instant.Time // time at which the last call was sent
	succeededCallAt instant.Time // time at which the latest successful call was sent
	lastLatency     float64      // latency of the last successful call, in seconds
	normalLatency   float64      // mean latency of the calls that were not slow, in seconds
}
