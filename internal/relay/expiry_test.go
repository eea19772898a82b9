package relay

import (
	"testing"
	"time"

	"milletsail/internal/clock"
)

// Guards against a response deadline that follows the wrong message of a batch, or that leaves a message with little time left no
// time for its call.
func TestResponseDeadline(t *testing.T) {
	now := clock.Now()
	sends := func(left ...time.Duration) (all []send) {
		for _, d := range left {
			all = append(all, send{expiresAt: now.Add(d)})
		}
		return all
	}
	for _, c := range []struct {
		left []time.Duration
		want time.Duration
	}{
		{[]time.Duration{time.Minute, time.Second}, time.Second - responseMargin},
		{[]time.Duration{time.Second, time.Minute}, time.Second - responseMargin},
		{[]time.Duration{2 * responseMargin, time.Minute}, responseMargin},
		{[]time.Duration{responseMargin, time.Minute}, responseMargin / 2},
	} {
		if by := responseDeadline(now, sends(c.left...)); by.Sub(now) != c.want {
			t.Errorf("messages with %v left: got a response deadline in %v, want %v", c.left, by.Sub(now), c.want)
		}
	}
}
