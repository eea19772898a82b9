package discovery

import (
	"errors"
	"time"

	"milletsail/internal/relay/resource"
	"milletsail/internal/settings"
)

// The protocol has a change of the list count as received 6 s after discovery had it and could be reached, and 4 s after a
// reload. The policy waits 0.5 s before it requests another watch. The longest times until a request is sent are then, in
// seconds:
//
//	a watch stalls:            SilenceTimeout 2.5 + 0.5 + maxJitter 2.5              = 5.5
//	a request gets no answer:  SilenceTimeout 2.5 + 0.5 + maxJitter 2.5              = 5.5
//	a request is rejected:     0.5 + (Retry-After and jitter, together at most 2 maxJitter) 5.0 = 5.5
//	after a reload:            maxJitter                                                    = 2.5
//
// Where a relay is alone at discovery, or has an agent of its own to ask, a change counts at once: then responseTimeout 1 + 0.5
// after a request without an answer, and 0.5 + maxRetryJitterAlone 0.5 after a rejection without a Retry-After.
const (
	// SilenceTimeout without a byte means that a watch is dead: an empty line comes every 2 s.
	SilenceTimeout = 2500 * time.Millisecond
	// responseTimeout is how long a relay without others waits for a response to begin.
	responseTimeout = time.Second
	// jitterPerRelay is the span that each relay of the fleet adds to the jitter of requests, since a cause that ends one
	// watch mostly ends all.
	jitterPerRelay = 80 * time.Millisecond
	// maxJitter bounds the jitter of a request.
	maxJitter = 2500 * time.Millisecond
	// minRetryJitter is the least jitter after a rejection. It doubles with each further one.
	minRetryJitter = 250 * time.Millisecond
	// maxRetryJitter bounds that, or twice the fleet's jitter where that is more. It also bounds discovery's Retry-After.
	maxRetryJitter = 2 * time.Second
	// maxRetryJitterAlone bounds it for a relay that is alone.
	maxRetryJitterAlone = 500 * time.Millisecond
	// localFailureJitter is the jitter after a request that failed on this machine.
	localFailureJitter = time.Second
)

// pushMode is the setting of discovery by which changes come to the relay's machine unasked.
const pushMode = "automatic"

// RequestJitter returns the span from which the relays of a fleet draw their delays before a request. Where changes come
// unasked, all that a relay asks is the agent on its own machine, and what that has counts at once.
func RequestJitter(s *settings.Settings) time.Duration {
	if s.Discovery == pushMode {
		return 0
	}
	return min(time.Duration(s.NInstances-1)*jitterPerRelay, maxJitter)
}

// delay is how long a request waits: a fixed part, and a random one of the span of the jitter.
type delay struct {
	minimum time.Duration
	jitter  time.Duration
}

// nextDelay returns the delay of the next request, after a watch that brought some lists and ended with an error; last is
// the jitter of the request before. A watch that was open, or a request that got no answer, has taken its time already;
// rejections come quickly, and are spaced out.
func (w *Watcher) nextDelay(last time.Duration, lists int, err error) delay {
	if lists > 0 || errors.Is(err, ErrWatchStalled) {
		return delay{jitter: w.jitter}
	}
	if resource.IsLocalFailure(err) { // there is no crowd at discovery that this relay has to make way for
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
