package policy

import (
	"math"
	"milletsail/internal/instant"
	"time"
)

// tokenBucket is a token bucket.
type tokenBucket struct {
	tokens    float64
	updatedAt instant.Time
}

// refill adds the tokens that came since the last time, up to depth, and gives how many there are.
func (b *tokenBucket) refill(now instant.Time, rate, depth float64) float64 {
	b.tokens = math.Min(depth, b.tokens+rate*math.Max(0, now.Sub(b.updatedAt).Seconds()))
	b.updatedAt = max(b.updatedAt, now)
	return b.tokens
}

// tokenDelay is the time in which tokens come at a rate, a little more than less.
func tokenDelay(tokens, rate float64) time.Duration {
	return time.Duration(math.Min(3600, math.Max(0, tokens)/rate)*float64(time.Second)) + time.Microsecond
}
