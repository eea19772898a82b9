package policy

import (
	"time"

	"milletsail/internal/instant"
)

// This file holds what is exchanged with the fleet; fleet.go decides on it.

// word is what the fleet says, with the times by this relay's clock.
type word struct {
	origins, rank      int
	first, last, until instant.Time
}

// binds tells whether the fleet says anything, and it is not too old to be used.
func (w word) binds(now instant.Time) bool { return w.origins > 0 && now < w.until }

// share tells the others this relay's pace for one destination after the other.
func (d *Dispatcher) share() {
	if !d.s.PublishRates || d.now < d.shareAt || len(d.queues) == 0 {
		return
	}
	d.shareAt = d.now.Add(max(shareLeast, time.Duration(d.s.FleetSize)*shareEach))
	d.shareNext++
	if q := d.queues[d.shareNext%len(d.queues)]; !q.apart && q.weight > 0 {
		d.act(PublishRate{Destination: q.dest.no, RateShare: q.pace / d.even(q), ArrivalRate: q.arrivals.rate(d.now)})
	}
}
