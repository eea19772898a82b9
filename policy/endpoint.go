package policy

import "milletsail/internal/instant"

// endpoint is one listed endpoint and what each mechanism knows of it.
type endpoint struct {
	Endpoint
	queue *queue
	calls []*call // out, in the order of sending

	outlier         outlierDetector
	slowStart       slowStartState
	connections     connectionLimiter
	resourceBackoff resourceBackoff // after a call that could not be started
	peerReport      peerReport
	canary          *canaryState // nil for an endpoint that is not on trial

	lastUsedAt      instant.Time
	succeededCallAt instant.Time // when the latest call that succeeded was sent
	lastLatency     float64      // of the last success, in seconds
	normalLatency   float64      // mean latency of calls that were not slow, in seconds
}
