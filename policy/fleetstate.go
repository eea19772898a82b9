package policy

import (
	"time"

	"milletsail/internal/instant"
)

// This file holds what is exchanged with the fleet; fleet.go decides on it.

// peerReport is what the fleet says, with the times by this relay's clock.
type peerReport struct {
	observers, rank                int
	oldestAt, newestAt, validUntil instant.Time
}

// valid tells whether the fleet says anything, and it is not too old to be used.
func (w peerReport) valid(now instant.Time) bool { return w.observers > 0 && now < w.validUntil }

// publishRate tells the others this relay's pace for one destination after the other.
func (d *Dispatcher) publishRate() {
	if !d.settings.PublishRates || d.now < d.publishAt || len(d.queues) == 0 {
		return
	}
	d.publishAt = d.now.Add(max(minPublishInterval, time.Duration(d.settings.FleetSize)*publishIntervalPerRelay))
	d.publishNext++
	if q := d.queues[d.publishNext%len(d.queues)]; !q.separateRoute && q.listedRate > 0 {
		d.emit(PublishRate{Destination: q.destination.number, RateShare: q.sendRate / d.evenShare(q), ArrivalRate: q.arrivals.rate(d.now)})
	}
}
