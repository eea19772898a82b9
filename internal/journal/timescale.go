package journal

import (
	"math"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// The times in a segment are wall times as they stood when it was begun, run on with the monotonic clock: steps of the wall
// clock don't show in them. The header holds both clocks of that time. A process of the same boot so reads the very
// moments. After another boot, or from a program that left no clocks, the wall clock is all there is: rebase.

// Clocks are the machine's clocks as a journal reads them. Tests put others in their place.
type Clocks struct {
	Now  func() instant.Time
	Wall func() clock.Wall
	// Uptime is the least time that has passed since anything that was written in another boot.
	Uptime func() time.Duration
}

// SystemClocks are the machine's own.
var SystemClocks = Clocks{Now: clock.Now, Wall: clock.ReadWall, Uptime: clock.Uptime}

// readPair reads both clocks.
func (c Clocks) readPair() clock.Pair { return clock.Pair{At: c.Now(), Wall: c.Wall()} }

// wallClockOnly reads the times of a segment that holds no clocks as if the wall clock were the monotonic one. What it gives
// has to be rebased.
var wallClockOnly = clock.Pair{At: 1, Wall: 1}

// latestInstant is the last moment in a state that had passed when it was written.
func (s *state) latestInstant() (last instant.Time) {
	for _, e := range s.entries {
		last = max(last, e.AcceptedAt)
		for _, a := range e.Attempts {
			last = max(last, a.StartedAt)
		}
	}
	for _, h := range s.health {
		last = max(last, h.ChangedAt)
	}
	return last
}

// rebase carries a state whose moments are not of this boot's clock over to it, by the wall clock: present is where that
// stands now on the state's own scale. Neither a deadline nor a window for repeats gets longer by it: where the wall clock
// shows an earlier time than the state does, it tells nothing, and the time of all is up.
func (s *state) rebase(present, now instant.Time, uptime time.Duration) {
	last := s.latestInstant()
	trusted := present >= last
	present = max(present, last.Add(uptime))
	move := func(t instant.Time) instant.Time {
		if t.IsZero() {
			return 0
		}
		return now.Add(t.Sub(present))
	}
	past := func(t instant.Time) instant.Time {
		if !trusted {
			return 0 // long ago
		}
		return max(0, min(now, move(t)))
	}
	for _, e := range s.entries {
		e.AcceptedAt = past(e.AcceptedAt)
		if e.ExpiresAt = move(e.ExpiresAt); !trusted {
			e.ExpiresAt = min(e.ExpiresAt, now)
		}
		for i := range e.Attempts {
			e.Attempts[i].StartedAt = past(e.Attempts[i].StartedAt)
		}
	}
	for host, h := range s.health {
		if h.ChangedAt = past(h.ChangedAt); !trusted {
			h.ChangedAt = now // a slow start begins anew: it may not have been long
		}
		s.health[host] = h
	}
}

// clampWall keeps a time from disk within what can be reckoned with.
func clampWall(v int64) clock.Wall {
	const most = math.MaxInt64 / 4
	return clock.Wall(max(-most, min(v, most)))
}
