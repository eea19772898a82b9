package journal

import (
	"math"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// Segments store times as wall-clock times that are derived from the monotonic clock: the wall clock's reading at the start
// of the segment, plus the monotonic time since then. Later steps of the wall clock therefore have no effect. The header
// stores both clock readings, so that a process of the same boot converts the times back exactly. After a reboot, or if the
// writer stored no readings, only the wall clock relates the stored times to the present; rebase does that.

// Clocks provides the clocks that a journal reads. Tests replace it.
type Clocks struct {
	Now  func() instant.Time // monotonic clock
	Wall func() clock.Wall   // wall clock
	// Uptime returns the time since the boot. At least this much time has passed since an earlier boot wrote a file.
	Uptime func() time.Duration
}

// SystemClocks provides the clocks of the machine.
var SystemClocks = Clocks{Now: clock.Now, Wall: clock.ReadWall, Uptime: clock.Uptime}

// readPair returns a reading of the monotonic clock and of the wall clock.
func (c Clocks) readPair() clock.Pair { return clock.Pair{At: c.Now(), Wall: c.Wall()} }

// wallClockOnly takes the place of the clock readings of a file that stores none. It converts times as if the wall clock
// were the monotonic clock, so the resulting state has to be rebased.
var wallClockOnly = clock.Pair{At: 1, Wall: 1}

// latestInstant returns the latest time in a state, other than deadlines. It had passed when the state was written.
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

// rebase converts the times of a state to this boot's monotonic clock, if they were not written on it. present is the
// current wall-clock time on the scale of the state's times; now is the current reading of the monotonic clock; uptime is a
// lower bound of the time since the state was written.
//
// It extends neither a deadline nor an idempotency window, as far as the clocks show: present counts as at least uptime after
// the latest time in the state, and no past event is placed after now.
//
// If present is before the latest time in the state, the wall clock has gone back and can't be trusted: then all deadlines
// have passed, all entries and attempts are as old as possible, and each endpoint's health changed just now.
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
			return 0 // the earliest possible time
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
			health.ChangedAt = now // an endpoint's slow start begins anew, since it may have begun just before the restart
		}
		s.health[host] = health
	}
}

// maxWall is the largest absolute value of a stored time, in nanoseconds since 1970. It keeps the difference of two times
// from overflowing.
const maxWall = math.MaxInt64 / 4

// clampWall limits a stored time, in nanoseconds since 1970, to the range from -maxWall to maxWall.
func clampWall(v int64) clock.Wall {
	return clock.Wall(max(-maxWall, min(v, maxWall)))
}
