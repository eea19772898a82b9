// Package instant defines the type of a moment on the machine's monotonic clock. It does not read a clock: package clock does.
//
// Moments, durations and wall times have three different types (Time, time.Duration and clock.Wall), so that the compiler rejects
// code that mixes them. Deadlines, windows, timeouts and grace periods are computed with Time, so steps of the wall clock do not
// affect them.
package instant

import (
	"math"
	"time"
)

// Time is a moment on the machine's monotonic clock, in nanoseconds. It has the same meaning in all processes of one boot, and none
// on another machine or after a reboot. The zero Time lies decades before the machine's boot.
type Time int64

// Boot is the moment of the machine's boot. It lies decades after the zero Time, so that the zero Time is earlier than any deadline
// or the start of any window.
const Boot Time = 1 << 60

// Never is the latest Time. It represents a moment that is never reached.
const Never Time = math.MaxInt64

// Add returns the moment d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// IsZero reports whether t is the zero Time.
func (t Time) IsZero() bool { return t == 0 }
