package relay

import (
	"testing"
	"time"

	"milletsail/internal/clock"
)

// An answer has to be read ahead of the time of the message with the least left, by the margin or half of what is left.
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
			t.Errorf("%v left: by %v, want %v", c.left, by.Sub(now), c.want)
		}
	}
}
