package journal

import (
	"math"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// Segments store moments as wall times: the wall clock as it stood when the segment was begun, continued by the monotonic
// clock, so that later steps of the wall clock have no effect. The header stores both clock readings. A process of the
// same boot translates the times back exactly. After a reboot, or if the writer stored no readings, only the wall clock
// is left to relate them to the present: see rebase.

// Clocks are the clocks that a journal reads. Tests replace them.
type Clocks struct {
	Now  func() instant.Time
	Wall func() clock.Wall
	// Uptime is the time since the boot: at least this much has passed since anything an earlier boot has written.
	Uptime func() time.Duration
}

// SystemClocks are the clocks of the machine.
var SystemClocks = Clocks{Now: clock.Now, Wall: clock.ReadWall, Uptime: clock.Uptime}

// readPair reads both clocks.
func (c Clocks) readPair() clock.Pair { return clock.Pair{At: c.Now(), Wall: c.Wall()} }

// wallClockOnly translates the times of a segment without clock readings, as if the wall clock were the monotonic one. The
// result has to be rebased.
var wallClockOnly = clock.Pair{At: 1, Wall: 1}

// latestInstant is the latest moment in a state that had passed when it was written.
func (s *state) latestInstant() (latest instant.Time) {
	for _, e := range s.entries {
		latest = max(latest, e.AcceptedAt)
		for _, attempt := range e.Attempts {
			latest = max(latest, attempt.StartedAt)
		}
	}
	for _, health := range s.health {
		latest = max(latest, health.ChangedAt)
	}
	return latest
}

// rebase translates the times of a state that are not on this boot's monotonic clock. present is the wall clock's current
// reading on the scale of those times; uptime bounds from below how long ago the state was written.
//
// Neither a deadline nor an idempotency window is extended by it. If the wall clock is behind the state it can't be
// trusted: then all deadlines have passed, and all else happened long ago.
func (s *state) rebase(present, now instant.Time, uptime time.Duration) {
	latest := s.latestInstant()
	trusted := present >= latest
	present = max(present, latest.Add(uptime))
	translate := func(t instant.Time) instant.Time {
		if t.IsZero() {
			return 0
		}
		return now.Add(t.Sub(present))
	}
	translatePast := func(t instant.Time) instant.Time {
		if !trusted {
			return 0 // long ago
		}
		return max(0, min(now, translate(t)))
	}
	for _, e := range s.entries {
		e.AcceptedAt = translatePast(e.AcceptedAt)
		e.ExpiresAt = translate(e.ExpiresAt)
		if !trusted {
			e.ExpiresAt = min(e.ExpiresAt, now)
		}
		for i := range e.Attempts {
			e.Attempts[i].StartedAt = translatePast(e.Attempts[i].StartedAt)
		}
	}
	for host, health := range s.health {
		health.ChangedAt = translatePast(health.ChangedAt)
		if !trusted {
			health.ChangedAt = now // slow start begins again, since it may have begun shortly before
		}
		s.health[host] = health
	}
}

// maxWall bounds stored times, in nanoseconds, so that differences of two of them can't overflow.
const maxWall = math.MaxInt64 / 4

// clampWall limits a stored time to the range in which it can be computed with.
func clampWall(v int64) clock.Wall {
	return clock.Wall(max(-maxWall, min(v, maxWall)))
}
