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
	resourceBackoff resourceBackoff // pause after a call that could not be started
	peerReport      peerReport
	canary          *canaryState // nil for an endpoint that is not a canary

	lastUsedAt      instant.Time // time at which the last call was sent
	succeededCallAt instant.Time // time at which the latest successful call was sent
	lastLatency     float64      // latency of the last successful call, in seconds
	// normalLatency is the mean latency, in seconds, of the calls that were not slow. It is kept only with
	// zones on and for endpoints of the own zone (recordLocalLoad); 0 means unknown.
	normalLatency float64
}
