package discovery

import (
	"errors"
	"time"

	"milletsail/internal/relay/resource"
	"milletsail/internal/settings"
)

// The protocol holds a relay responsible for a change of the endpoint list 6 s after discovery had the change and was
// reachable, and 4 s after a reload. The policy waits 0.5 s before it requests another watch. The timings below therefore
// bound the time until the next request is sent, in seconds:
//
//	a watch stalls:             SilenceTimeout 2.5 + 0.5 + maxJitter 2.5                          = 5.5
//	a request gets no response: SilenceTimeout 2.5 + 0.5 + maxJitter 2.5                          = 5.5
//	a request is rejected:      0.5 + (Retry-After and jitter, together at most 2*maxJitter) 5.0  = 5.5
//	after a reload:             maxJitter                                                         = 2.5
//
// A relay that is the only one of its fleet, or that queries an agent on its own machine, is responsible for a change at
// once. Its bounds are responseTimeout 1 + 0.5 after a request without a response, and 0.5 + maxRetryJitterAlone 0.5 after a
// rejection without a Retry-After.
const (
	// SilenceTimeout is the time without a received byte after which a watch counts as stalled. Discovery sends an empty line
	// every 2 s as a keep-alive.
	SilenceTimeout = 2500 * time.Millisecond
	// responseTimeout bounds the wait for a response to begin where requests have no jitter, that is, where the relay shares
	// discovery with no other relay.
	responseTimeout = time.Second
	// jitterPerRelay is how much each further relay of the fleet adds to the maximum jitter of a request. The watches of a
	// fleet mostly end together, and jitter spreads out the requests that follow.
	jitterPerRelay = 80 * time.Millisecond
	// maxJitter bounds the jitter of a request when nothing has failed.
	maxJitter = 2500 * time.Millisecond
	// minRetryJitter is added to twice the previous jitter after each rejection.
	minRetryJitter = 250 * time.Millisecond
	// maxRetryJitter bounds the jitter after a rejection, unless twice the fleet's normal jitter is larger and bounds it
	// instead. It also bounds the Retry-After that discovery asks for.
	maxRetryJitter = 2 * time.Second
	// maxRetryJitterAlone bounds the jitter after a rejection for a relay whose requests normally have no jitter.
	maxRetryJitterAlone = 500 * time.Millisecond
	// localFailureJitter bounds the jitter after a request that failed on this machine, for example for lack of descriptors.
	localFailureJitter = time.Second
)

// pushMode is the value of the discovery setting with which discovery pushes changes to an agent on the relay's machine.
const pushMode = "automatic"

// RequestJitter returns the maximum jitter before a relay of the fleet requests a watch. It is 0 in push mode: there a relay
// queries only the agent on its own machine, and is responsible at once for every change that the agent has.
func RequestJitter(s *settings.Settings) time.Duration {
	if s.Discovery == pushMode {
		return 0
	}
	return min(time.Duration(s.NInstances-1)*jitterPerRelay, maxJitter)
}

// delay is the wait before a request for a watch: minimum, plus a random time between 0 and jitter.
type delay struct {
	minimum time.Duration
	jitter  time.Duration
}

// nextDelay returns the delay before the next request. The previous watch delivered the given number of lists and ended with
// err, and its request was delayed with a jitter of last. A watch that delivered lists, or that stalled, lasted long enough to
// need no backoff; rejections arrive quickly and back off exponentially.
func (w *Watcher) nextDelay(last time.Duration, lists int, err error) delay {
	if lists > 0 || errors.Is(err, ErrWatchStalled) {
		return delay{jitter: w.jitter}
	}
	if resource.IsLocalFailure(err) { // discovery is not overloaded, so no backoff is needed
		return delay{jitter: min(w.jitter, localFailureJitter)}
	}
	maxSpan := maxRetryJitterAlone
	if w.jitter > 0 {
		maxSpan = max(maxRetryJitter, 2*w.jitter)
	}
	var next delay
	if unavailable := new(UnavailableError); errors.As(err, &unavailable) {
		next.minimum = unavailable.RetryAfter
	}
	next.jitter = min(maxSpan, 2*last+minRetryJitter, 2*maxJitter-next.minimum)
	return next
}
