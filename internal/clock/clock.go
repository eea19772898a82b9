// Package clock reads the machine's monotonic clock and wall clock, converts between their readings, and sleeps with a context.
// No other package of the relay reads the wall clock.
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

// reference relates the monotonic readings of the standard library, which are relative to the process, to the machine's monotonic
// clock.
var reference = readReference()

// clockReference is a reading of both clocks at the start of the process.
type clockReference struct {
	started time.Time
	at      instant.Time
	shared  bool // whether at was read from the machine's clock, so that moments are comparable between processes
}

// readReference reads both clocks. If the machine's clock can't be read, moments are relative to the start of the process and not
// comparable with those of other processes.
func readReference() clockReference {
	started := time.Now()
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return clockReference{started: started, at: instant.Boot}
	}
	return clockReference{started: started, at: instant.Boot.Add(time.Duration(now.Nano())), shared: true}
}

// Now returns the current moment, by the machine's monotonic clock.
func Now() instant.Time { return reference.at.Add(time.Since(reference.started)) }

// Since returns the time elapsed since t.
func Since(t instant.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration from now until t.
func Until(t instant.Time) time.Duration { return t.Sub(Now()) }

// Deadline converts a moment to a time.Time, for use as a deadline in the standard library. The result has a monotonic reading, so
// steps of the wall clock do not affect the deadline.
func Deadline(t instant.Time) time.Time { return reference.started.Add(t.Sub(reference.at)) }

// Uptime returns the time since the machine's boot, or 0 if the monotonic clock can't be read.
func Uptime() time.Duration {
	if !reference.shared {
		return 0
	}
	return Now().Sub(instant.Boot)
}

// BootID returns the ID of the machine's current boot. Moments of two processes are comparable if both have the same ID. An empty
// ID means that it is unknown, and that moments are not comparable between processes.
func BootID() string { return bootID() }

const (
	// bootIDPath is the file in which Linux provides the boot ID.
	bootIDPath = "/proc/sys/kernel/random/boot_id"
	// bootIDLength is the length of a boot ID, a UUID, in bytes.
	bootIDLength = 36
	// bootIDAttempts is the maximum number of attempts to read the boot ID. Reading may fail temporarily, for example for lack of
	// file descriptors.
	bootIDAttempts = 50
	// bootIDRetryInterval is the delay between two attempts to read the boot ID.
	bootIDRetryInterval = 20 * time.Millisecond
)

// bootID returns the boot ID, which it reads at the first call, or "" if it can't be read.
var bootID = sync.OnceValue(func() string {
	if !reference.shared {
		return ""
	}
	for range bootIDAttempts {
		text, err := os.ReadFile(bootIDPath)
		if err == nil && len(text) >= bootIDLength {
			return string(text[:bootIDLength])
		}
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, os.ErrPermission) {
			return ""
		}
		time.Sleep(bootIDRetryInterval)
	}
	return ""
})

// Wall is a wall time, in nanoseconds since 1970. Use it only for logs and for data that outlives a boot, because operators and
// NTP can step the wall clock.
type Wall int64

// ReadWall returns the current wall time.
func ReadWall() Wall { return Wall(time.Now().UnixNano()) }

// Time converts a wall time to a time.Time, for formatting.
func (w Wall) Time() time.Time { return time.Unix(0, int64(w)) }

// Seconds returns a wall time in whole seconds since 1970.
func (w Wall) Seconds() int64 { return int64(w) / int64(time.Second) }

// Pair is a simultaneous reading of both clocks. It converts moments to wall times and back by the difference of the two clocks at
// that reading.
type Pair struct {
	At   instant.Time `json:"At"`
	Wall Wall         `json:"Wall"`
}

// ReadPair returns the current readings of both clocks.
func ReadPair() Pair { return Pair{At: Now(), Wall: ReadWall()} }

// WallOf converts a moment to a wall time. The zero Time becomes 0.
func (p Pair) WallOf(t instant.Time) Wall {
	if t.IsZero() {
		return 0
	}
	return p.Wall + Wall(t.Sub(p.At))
}

// InstantOf converts a wall time to a moment. 0 becomes the zero Time.
func (p Pair) InstantOf(w Wall) instant.Time {
	if w == 0 {
		return 0
	}
	return p.At.Add(time.Duration(w - p.Wall))
}

// SteppedBy returns the change of the wall clock relative to the monotonic clock between p and a later reading. It is positive if
// the wall clock was set forward, and includes drift.
func (p Pair) SteppedBy(later Pair) time.Duration {
	return time.Duration(later.Wall-p.Wall) - later.At.Sub(p.At)
}

// Sleep blocks for d or until ctx is done, whichever comes first. It returns false if ctx was done first. If d is not positive, it
// returns immediately.
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
