// Package clock reads the machine's clocks, and sleeps under a context. It is the one place of the relay where a wall time
// is read.
package clock

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"milletsail/internal/instant"
)

// process ties the clock of this process to the machine's: both were read together at its start.
var process = readProcess()

type processStart struct {
	started time.Time
	at      instant.Time
	shared  bool // at is the machine's, and so means the same in other processes
}

func readProcess() processStart {
	started := time.Now()
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return processStart{started: started, at: instant.Boot}
	}
	return processStart{started: started, at: instant.Boot.Add(time.Duration(now.Nano())), shared: true}
}

// Now reads the machine's monotonic clock.
func Now() instant.Time { return process.at.Add(time.Since(process.started)) }

// Since is the time since a moment.
func Since(t instant.Time) time.Duration { return Now().Sub(t) }

// Until is the time until a moment.
func Until(t instant.Time) time.Duration { return t.Sub(Now()) }

// Deadline gives a moment as the standard library takes it. Its timers and deadlines go by the monotonic reading in it.
func Deadline(t instant.Time) time.Time { return process.started.Add(t.Sub(process.at)) }

// Uptime is how long the machine has run, as far as the monotonic clock tells; 0 where it does not.
func Uptime() time.Duration {
	if !process.shared {
		return 0
	}
	return Now().Sub(instant.Boot)
}

// BootID tells one boot of the machine from another: moments of processes with the same one may be compared. It is empty
// where the system does not say, and then nothing may be.
func BootID() string { return bootID() }

const (
	// bootIDLength is the length of a boot's identity: a UUID.
	bootIDLength = 36
	// bootIDTries and bootIDRetry bound the reading of it, which may fail for a moment for want of descriptors.
	bootIDTries, bootIDRetry = 50, 20 * time.Millisecond
)

var bootID = sync.OnceValue(func() string {
	if !process.shared {
		return ""
	}
	for range bootIDTries {
		text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
		if err == nil && len(text) >= bootIDLength {
			return string(text[:bootIDLength])
		}
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, os.ErrPermission) {
			return ""
		}
		time.Sleep(bootIDRetry)
	}
	return ""
})

// Wall is a wall time, in nanoseconds since 1970. It is for logs and for what outlasts a boot: operators and time servers
// may step the clock that it is read from.
type Wall int64

// ReadWall reads the wall clock.
func ReadWall() Wall { return Wall(time.Now().UnixNano()) }

// Time gives a wall time as the standard library formats it.
func (w Wall) Time() time.Time { return time.Unix(0, int64(w)) }

// Seconds gives a wall time in whole seconds since 1970.
func (w Wall) Seconds() int64 { return int64(w) / int64(time.Second) }

// Pair is both clocks, read together: it translates moments into wall times and back, as the wall clock stood then.
type Pair struct {
	At   instant.Time `json:"At"`
	Wall Wall         `json:"Wall"`
}

// ReadPair reads both clocks.
func ReadPair() Pair { return Pair{At: Now(), Wall: ReadWall()} }

// WallOf gives the wall time of a moment; the zero Time gives 0.
func (p Pair) WallOf(t instant.Time) Wall {
	if t.IsZero() {
		return 0
	}
	return p.Wall + Wall(t.Sub(p.At))
}

// InstantOf gives the moment of a wall time; 0 gives the zero Time.
func (p Pair) InstantOf(w Wall) instant.Time {
	if w == 0 {
		return 0
	}
	return p.At.Add(time.Duration(w - p.Wall))
}

// SteppedBy is how far the wall clock was stepped between two readings, and what it drifted.
func (p Pair) SteppedBy(later Pair) time.Duration {
	return time.Duration(later.Wall-p.Wall) - later.At.Sub(p.At)
}

// Sleep waits for d or until ctx is done, and reports whether ctx is still active. It returns at once if d is 0 or less.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
