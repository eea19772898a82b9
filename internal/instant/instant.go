// Package instant defines the type of a moment on the machine's monotonic clock. It reads no clock; package clock does.
//
// A moment, a duration and a wall time are three types (Time, time.Duration and clock.Wall), so that the compiler rejects
// code that mixes them. Deadlines, windows, timeouts and grace periods are based on this type: steps of the wall clock do
// not affect them.
package instant

import (
	"math"
	"time"
)

// Time is a moment on the machine's monotonic clock, in nanoseconds. All processes of one boot share the scale; on another
// machine or after a reboot the number has no meaning. The zero Time is long ago: decades before the machine's boot.
type Time int64

// Boot is the moment of the machine's boot. It lies decades after the zero Time, so that the zero Time precedes any
// deadline or window.
const Boot Time = 1 << 60

// Never is later than all moments.
const Never Time = math.MaxInt64

// Add returns the moment d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// IsZero reports whether t is the zero Time.
func (t Time) IsZero() bool { return t == 0 }
