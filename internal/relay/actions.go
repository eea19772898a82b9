package relay

import (
	"log/slog"

	"milletsail/internal/instant"
	"milletsail/internal/journal"
	"milletsail/policy"
)

// execute executes an action of the policy. Reject and Fail are not handled here: endRejected has executed them before.
func (l *loop) execute(now instant.Time, action policy.Action) {
	switch action := action.(type) {
	case policy.Send:
		l.send(now, action)
	case policy.Cancel:
		if m := l.inFlight(action.ID, action.Attempt); m != nil {
			l.batch.afterCommit = append(l.batch.afterCommit, m.cancel)
		}
	case policy.CancelUnwritten:
		if h, ok := l.endpoints.table.Get(action.Endpoint); ok {
			l.batch.afterCommit = append(l.batch.afterCommit, func() { l.pool.CancelUnwritten(h.Dial) })
		}
	case policy.CloseIdleConnections:
		if h, ok := l.endpoints.table.Get(action.Endpoint); ok {
			l.batch.afterCommit = append(l.batch.afterCommit, func() { l.pool.CloseIdle(h.Dial) })
		}
	case policy.SetTimer:
		// The policy has a single timer: a new setting replaces the previous one.
		l.timerAt = now.Add(action.After)
	case policy.Subscribe:
		l.watcher.Request()
	case policy.Broadcast:
		l.batch.afterCommit = append(l.batch.afterCommit, func() { l.broadcast(action.Message) })
	case policy.PersistHealth:
		l.persistHealth(action)
	case policy.PersistSuspicion:
		l.persistSuspicion(action)
	case policy.ZoneStateChanged:
		slog.Info("zone state changed", "zone", action.Zone, "state", action.State)
	case policy.CanaryStageChanged:
		slog.Info("canary stage changed", "endpoint", action.Endpoint, "share", action.Share,
			"suspended_for", max(0, action.SuspendedUntil.Sub(now)))
	case policy.PublishRate:
		l.fleet.ObserveRate(action.Destination, action.RateShare, action.ArrivalRate)
	}
}

// persistHealth records the health of a listed endpoint in the journal. It also reports the health to the fleet, unless this
// relay itself only learned it from another relay.
func (l *loop) persistHealth(a policy.PersistHealth) {
	if _, listed := l.endpoints.table.Get(a.Endpoint); !listed {
		return
	}
	slog.Info("endpoint health changed", "endpoint", a.Endpoint, "ejected", a.Ejected, "second_hand", a.SecondHand)
	l.journal.RecordHealth(a.Endpoint, journal.HealthRecord{Ejected: a.Ejected, ChangedAt: a.At})
	if !a.SecondHand {
		l.fleet.ObserveHealth(a.Endpoint, a.Ejected)
	}
}

// persistSuspicion records in the journal that a call to a listed endpoint failed, or that its failures stood alone.
func (l *loop) persistSuspicion(a policy.PersistSuspicion) {
	endpoint, listed := l.endpoints.table.Get(a.Endpoint)
	if !listed {
		return
	}
	slog.Info("endpoint suspicion changed", "endpoint", a.Endpoint, "destination", endpoint.Block, "suspected", a.Suspected)
	l.journal.RecordHealth(a.Endpoint, journal.HealthRecord{Ejected: a.Suspected, ChangedAt: a.At})
}

// countEndpoints returns the number of listed endpoints of a destination.
func (l *loop) countEndpoints(destination int) (count int) {
	for range l.endpoints.table.ByDestination(destination) {
		count++
	}
	return count
}
