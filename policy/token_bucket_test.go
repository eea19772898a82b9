package policy

import (
	"testing"
	"time"
)

func TestTokenBucket(t *testing.T) {
	var bucket tokenBucket
	bucket.reset(1, moment(time.Second))
	for _, step := range []struct {
		at   time.Duration
		want float64
	}{
		{at: 500 * ms, want: 1}, // before the start of the refill
		{at: time.Second, want: 1},
		{at: 1500 * ms, want: 2},
		{at: time.Minute, want: 3}, // limited by the depth
	} {
		if got := bucket.refill(moment(step.at), 2, 3); got != step.want {
			t.Errorf("at %v: %v tokens, want %v", step.at, got, step.want)
		}
	}
	if got := tokenDelay(3, 2); got < 1500*ms || got > 1501*ms {
		t.Errorf("tokenDelay(3, 2) = %v, want 1.5s", got)
	}
	if got := tokenDelay(-1, 2); got > ms {
		t.Errorf("tokenDelay(-1, 2) = %v, want almost 0", got)
	}
	if got := tokenDelay(1, 0); got < time.Hour || got > time.Hour+ms {
		t.Errorf("tokenDelay(1, 0) = %v, want the longest delay, 1h", got)
	}
}
