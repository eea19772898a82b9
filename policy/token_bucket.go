package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

// maxTokenDelay bounds, in seconds, the time that tokenDelay returns.
const maxTokenDelay = 3600

// tokenBucket is a token bucket; its rate and depth are arguments, as they change.
type tokenBucket struct {
	tokens    float64
	updatedAt instant.Time // in the future while a pause lasts
}

// refill adds the tokens that came since the last time, up to depth, and returns how many there are.
func (b *tokenBucket) refill(now instant.Time, rate, depth float64) float64 {
	b.tokens = math.Min(depth, b.tokens+rate*math.Max(0, now.Sub(b.updatedAt).Seconds()))
	b.updatedAt = max(b.updatedAt, now)
	return b.tokens
}

// reset leaves a number of tokens, to which more are added from a moment on.
func (b *tokenBucket) reset(tokens float64, from instant.Time) { b.tokens, b.updatedAt = tokens, from }

// tokenDelay is the time in which a number of tokens come at a rate, rounded up.
func tokenDelay(tokens, rate float64) time.Duration {
	seconds := math.Min(maxTokenDelay, math.Max(0, tokens)/rate)
	return time.Duration(seconds*float64(time.Second)) + time.Microsecond
}
