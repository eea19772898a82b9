// Package instant holds the type of moments on a machine's monotonic clock. It reads no clock; package clock does.
//
// A moment, a span and a wall time are three types here (Time, time.Duration and clock.Wall), so that the compiler refuses
// to mix them. All deadlines, windows, waits and graces are moments of this type: steps of the wall clock don't move them.
package instant

import (
	"math"
	"time"
)

// Time is a moment on a machine's monotonic clock, in nanoseconds. Processes of one boot share it; on another machine, or
// after another boot, the number means nothing. The zero Time is long ago: decades before the machine's boot.
type Time int64

// Boot is the moment of the machine's boot. It lies decades after the zero Time, so that "long ago" is longer ago than any
// deadline or window.
const Boot Time = 1 << 60

// Never is later than every moment.
const Never Time = math.MaxInt64

// Add gives the moment a span later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub gives the span from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// IsZero tells whether t is the zero Time.
func (t Time) IsZero() bool { return t == 0 }
