package journal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"os"
	"reflect"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// clockTolerance is the allowed difference of two times that were converted between the clocks by different readings.
// Format 1 stores only wall-clock times, so each of its times is converted when it is read and when it is written.
const clockTolerance = time.Millisecond

// sameV1 reports whether two files of format 1 contain the same records, with times that differ by at most clockTolerance.
func sameV1(a, b []byte) bool {
	for len(a) > 0 && len(b) > 0 {
		one, oneBody, oneLength, err := decodeV1(a)
		if err != nil {
			return false
		}
		two, twoBody, twoLength, err := decodeV1(b)
		if err != nil {
			return false
		}
		for _, pair := range timesV1(&one, &two) {
			if pair[0].Sub(*pair[1]).Abs() > clockTolerance {
				return false
			}
			*pair[0] = *pair[1]
		}
		if !reflect.DeepEqual(one, two) || !bytes.Equal(oneBody, twoBody) {
			return false
		}
		a, b = a[oneLength:], b[twoLength:]
	}
	return len(a) == 0 && len(b) == 0
}

// timesV1 returns the corresponding times of two records as pairs.
func timesV1(one, two *recordV1) (pairs [][2]*time.Time) {
	pairs = append(pairs, [2]*time.Time{&one.At, &two.At})
	if one.Entry != nil && two.Entry != nil {
		pairs = append(pairs, [2]*time.Time{&one.Entry.Expires, &two.Entry.Expires})
	}
	if one.Health != nil && two.Health != nil {
		pairs = append(pairs, [2]*time.Time{&one.Health.At, &two.Health.At})
	}
	return pairs
}

// fakeMachine is a machine whose clocks and boot ID a test sets.
type fakeMachine struct {
	now  instant.Time // monotonic clock
	wall clock.Wall   // wall clock
	boot string       // boot ID
}

// advance moves both clocks forward by d.
func (m *fakeMachine) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.wall += clock.Wall(d)
}

// stepWallClock moves only the wall clock by d.
func (m *fakeMachine) stepWallClock(d time.Duration) { m.wall += clock.Wall(d) }

// reboot changes the boot ID, and sets the monotonic clock to the given time after the boot. The wall clock stays as it is.
func (m *fakeMachine) reboot(uptime time.Duration) {
	m.now, m.boot = instant.Boot.Add(uptime), m.boot+"+"
}

// open opens a journal on the machine, under durability Process.
func (m *fakeMachine) open(t *testing.T, dir string) *Journal {
	t.Helper()
	j, _, err := Open(dir, Options{DiskMB: 3, Boot: m.boot, Clocks: Clocks{Now: func() instant.Time { return m.now },
		Wall: func() clock.Wall { return m.wall }, Uptime: func() time.Duration { return m.now.Sub(instant.Boot) }}})
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// TestTimesAcrossProcesses guards against a restart that extends a deadline or makes an attempt seem more recent. Within a
// boot, steps of the wall clock must have no effect. After a reboot, times follow the wall clock, so a step back that is
// shorter than the downtime goes unnoticed; if the wall clock is behind the stored times, all deadlines must have passed.
func TestTimesAcrossProcesses(t *testing.T) {
	const deadline, sentAfter, gone = 10 * time.Second, time.Second, 3 * time.Second
	const left, sentAgo = deadline - sentAfter - gone, gone
	for _, c := range []struct {
		name      string
		after     func(m *fakeMachine) // changes the clocks between the processes, after they have advanced by gone
		left      time.Duration        // expected time until the deadline
		ago       time.Duration        // least expected time since the attempt
		ejectedAt time.Duration        // expected time since the endpoint was ejected
	}{
		{"no step", func(*fakeMachine) {}, left, sentAgo, sentAgo},
		{"wall clock an hour forward", func(m *fakeMachine) { m.stepWallClock(time.Hour) }, left, sentAgo, sentAgo},
		{"wall clock an hour back", func(m *fakeMachine) { m.stepWallClock(-time.Hour) }, left, sentAgo, sentAgo},
		{"wall clock a second back", func(m *fakeMachine) { m.stepWallClock(-time.Second) }, left, sentAgo, sentAgo},
		{"wall clock an hour forward and back", func(m *fakeMachine) { m.stepWallClock(time.Hour); m.stepWallClock(-time.Hour) },
			left, sentAgo, sentAgo},
		{"after a reboot", func(m *fakeMachine) { m.reboot(time.Second) }, left, sentAgo, sentAgo},
		{"after a reboot, wall clock forward", func(m *fakeMachine) { m.reboot(time.Second); m.stepWallClock(5 * time.Second) },
			left - 5*time.Second, sentAgo + 5*time.Second, sentAgo + 5*time.Second},
		{"after a reboot, wall clock back by less than the downtime",
			func(m *fakeMachine) { m.reboot(2 * time.Second); m.stepWallClock(-2 * time.Second) },
			left + time.Second, sentAgo - time.Second, sentAgo - time.Second},
		{"after a reboot, wall clock an hour back", func(m *fakeMachine) { m.reboot(time.Second); m.stepWallClock(-time.Hour) },
			0, 1 << 40, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, dir := &fakeMachine{now: instant.Boot.Add(time.Hour), wall: 1.7e18, boot: "one"}, t.TempDir()
			j := m.open(t, dir)
			m.stepWallClock(20 * time.Minute) // a step within the first process, which must not affect the times that it stores
			e := &Entry{ID: "m", ExpiresAt: m.now.Add(deadline)}
			j.Accept(e)
			m.advance(sentAfter)
			j.StartAttempt(e, "h", m.now)
			j.RecordHealth("h", HealthRecord{Ejected: true, ChangedAt: m.now})
			commit(t, j)
			_ = j.Close()
			m.stepWallClock(-20 * time.Minute)
			m.advance(gone)
			c.after(m)
			for range 2 { // the first Open replays the records, the second replays the snapshot that the first wrote
				j = m.open(t, dir)
				e = j.Get("m")
				if got := e.ExpiresAt.Sub(m.now); got > c.left || got < c.left-time.Millisecond {
					t.Errorf("%v remain until the deadline, want %v", got, c.left)
				}
				if got := m.now.Sub(e.Attempts[0].StartedAt); got < c.ago {
					t.Errorf("the attempt started %v ago, want at least %v", got, c.ago)
				}
				if got := m.now.Sub(j.Health()["h"].ChangedAt); got < c.ejectedAt || got > c.ejectedAt+time.Millisecond {
					t.Errorf("the endpoint was ejected %v ago, want %v", got, c.ejectedAt)
				}
				_ = j.Close()
			}
		})
	}
}

// TestDirectoryWithoutClocks guards against wrong deadlines in a segment of an older program, which stored no clock readings
// in the header: its times must be converted by the wall clock.
func TestDirectoryWithoutClocks(t *testing.T) {
	m, dir := &fakeMachine{now: instant.Boot.Add(time.Hour), wall: 1.7e18, boot: "one"}, t.TempDir()
	j := m.open(t, dir)
	e := &Entry{ID: "m", ExpiresAt: m.now.Add(10 * time.Second)}
	j.Accept(e)
	commit(t, j)
	_ = j.Close()
	removeClocks(t, onlySegment(t, dir))
	m.advance(2 * time.Second)
	j = m.open(t, dir)
	if got := j.Get("m").ExpiresAt.Sub(m.now); got != 8*time.Second {
		t.Errorf("%v remain until the deadline, want 8s", got)
	}
}

// removeClocks removes the clock readings from a segment's header, which then is as older programs wrote it.
func removeClocks(t *testing.T, path string) {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	length := int(binary.LittleEndian.Uint32(raw[12:]))
	in := payloadReader{unread: raw[segmentHeaderSize : segmentHeaderSize+length]}
	in.uvarint()
	in.uvarint()
	in.boolean()
	in.str()
	in.str()
	kept := length - len(in.unread)
	head := bytes.Clone(raw[:segmentHeaderSize+kept])
	binary.LittleEndian.PutUint32(head[12:], uint32(kept))
	head = binary.LittleEndian.AppendUint32(head, crc32.Checksum(head, castagnoli))
	if err := os.WriteFile(path, append(head, raw[segmentHeaderSize+length+4:]...), 0o600); err != nil {
		t.Fatal(err)
	}
}
