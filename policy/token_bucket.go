package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

// maxTokenDelay bounds, in seconds, the time that tokenDelay returns.
const maxTokenDelay = 3600

// tokenBucket is a token bucket. Its rate and depth can change, so they are arguments of refill.
type tokenBucket struct {
	tokens    float64
	updatedAt instant.Time // time of the last refill; during a pause, the end of the pause
}

// refill adds the tokens for the time since the last refill, up to depth, and returns the number of tokens.
func (b *tokenBucket) refill(now instant.Time, rate, depth float64) float64 {
	b.tokens = math.Min(depth, b.tokens+rate*math.Max(0, now.Sub(b.updatedAt).Seconds()))
	b.updatedAt = max(b.updatedAt, now)
	return b.tokens
}

// reset sets the number of tokens. Further tokens are added from the given time on.
func (b *tokenBucket) reset(tokens float64, from instant.Time) { b.tokens, b.updatedAt = tokens, from }

// tokenDelay returns the time in which a number of tokens are added at a rate, rounded up.
func tokenDelay(tokens, rate float64) time.Duration {
	seconds := math.Min(maxTokenDelay, math.Max(0, tokens)/rate)
	return time.Duration(seconds*float64(time.Second)) + time.Microsecond
}
