// Package clock reads the machine's clocks and sleeps with a context. No other package of the relay reads the wall clock.
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

// reference relates the standard library's monotonic readings to the machine's monotonic clock.
var reference = readReference()

// clockReference is a reading of both clocks at the start of the process.
type clockReference struct {
	started time.Time
	at      instant.Time
	shared  bool // at was read from the machine's clock, so that it is comparable between processes
}

// readReference reads both clocks. If the machine's can't be read, the process gets a scale of its own.
func readReference() clockReference {
	started := time.Now()
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return clockReference{started: started, at: instant.Boot}
	}
	return clockReference{started: started, at: instant.Boot.Add(time.Duration(now.Nano())), shared: true}
}

// Now returns the current reading of the machine's monotonic clock.
func Now() instant.Time { return reference.at.Add(time.Since(reference.started)) }

// Since returns the time elapsed since t.
func Since(t instant.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t.
func Until(t instant.Time) time.Duration { return t.Sub(Now()) }

// Deadline converts a moment for the deadlines of the standard library. The result has a monotonic reading, so that steps of
// the wall clock do not move it.
func Deadline(t instant.Time) time.Time { return reference.started.Add(t.Sub(reference.at)) }

// Uptime returns the time since the machine's boot, or 0 if the monotonic clock can't be read.
func Uptime() time.Duration {
	if !reference.shared {
		return 0
	}
	return Now().Sub(instant.Boot)
}

// BootID identifies the machine's current boot. Moments are comparable between processes with the same ID. It is empty if the
// ID is unknown; then they are not comparable.
func BootID() string { return bootID() }

const (
	// bootIDPath is where Linux provides the boot ID.
	bootIDPath = "/proc/sys/kernel/random/boot_id"
	// bootIDLength is the length of a boot ID, a UUID, in bytes.
	bootIDLength = 36
	// bootIDAttempts bounds how often it is read: that may fail temporarily, for example for lack of file descriptors.
	bootIDAttempts = 50
	// bootIDRetryInterval is the delay between two attempts.
	bootIDRetryInterval = 20 * time.Millisecond
)

// bootID reads the boot ID once.
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

// Wall is a wall time, in nanoseconds since 1970. Use it for logs and for data that outlives a boot only: operators and NTP
// may step the wall clock.
type Wall int64

// ReadWall returns the current reading of the wall clock.
func ReadWall() Wall { return Wall(time.Now().UnixNano()) }

// Time converts a wall time for formatting by the standard library.
func (w Wall) Time() time.Time { return time.Unix(0, int64(w)) }

// Seconds returns a wall time in whole seconds since 1970.
func (w Wall) Seconds() int64 { return int64(w) / int64(time.Second) }

// Pair is a simultaneous reading of both clocks. It converts moments to wall times and back, as the wall clock was set at
// that reading.
type Pair struct {
	At   instant.Time `json:"At"`
	Wall Wall         `json:"Wall"`
}

// ReadPair reads both clocks.
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

// SteppedBy returns by how much the wall clock was stepped between two readings, its drift included.
func (p Pair) SteppedBy(later Pair) time.Duration {
	return time.Duration(later.Wall-p.Wall) - later.At.Sub(p.At)
}

// Sleep blocks for d or until ctx is done, and reports whether ctx is still active. It returns immediately if d is not
// positive.
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
