package policy

import "milletsail/internal/instant"

// endpoint is one listed endpoint and what is known of its health.
type endpoint struct {
	Endpoint
	queue               *queue
	calls               []*call
	consecutiveFailures float64   // in a row
	classFailures       []float64 // failures in a row by class
	ejected             bool
	ejectedAt           instant.Time
	recoveredAt         instant.Time // first success after an outage; 0 for never
	slowStarting        bool
	tokenBucket         // of the budget while sick or ramping
	lastSuccessAt       instant.Time
	lastUsedAt          instant.Time
	succeededCallAt     instant.Time    // the start of the latest call that succeeded
	lastLatency         float64         // the latency of the last success
	connectionLimit     float64         // learned; 0 for none
	connectErrorAt      instant.Time    // when it last took no connection, here or elsewhere
	peerReport          peerReport      // of the fleet
	lastFailureAt       instant.Time    // the last failure of a call, here or as several relays found; 0 for never
	normalLatency       float64         // mean latency of calls that were not slow
	connectionsFullAt   instant.Time    // when it last was known to serve this relay all the same; 0 for never
	resourceBackoff     resourceBackoff // it gets nothing for a moment, since a call there could not be begun
	canary              *canaryState    // nil where it is not new on the list, or has proved itself
}
