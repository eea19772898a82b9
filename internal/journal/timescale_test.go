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

// clockTolerance is how far two readings of both clocks may lie apart: format 1 knows the wall clock alone, so its
// times go from one clock to the other and back.
const clockTolerance = time.Millisecond

// sameV1 reports whether two files of format 1 hold the same records, times within clockTolerance.
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

// timesV1 pairs the times of two records.
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

// fakeMachine is a fakeMachine whose clocks a test sets.
type fakeMachine struct {
	now  instant.Time
	wall clock.Wall
	boot string
}

// advance lets time pass.
func (m *fakeMachine) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.wall += clock.Wall(d)
}

// stepWallClock stepWallClock the wall clock alone.
func (m *fakeMachine) stepWallClock(d time.Duration) { m.wall += clock.Wall(d) }

// reboot starts the machine anew, after a while of which its monotonic clock knows nothing.
func (m *fakeMachine) reboot(uptime time.Duration) {
	m.now, m.boot = instant.Boot.Add(uptime), m.boot+"+"
}

func (m *fakeMachine) open(t *testing.T, dir string) *Journal {
	t.Helper()
	j, _, err := Open(dir, Options{DiskMB: 3, Boot: m.boot, Clocks: Clocks{Now: func() instant.Time { return m.now },
		Wall: func() clock.Wall { return m.wall }, Uptime: func() time.Duration { return m.now.Sub(instant.Boot) }}})
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// What a later process reads of a message's time: exact within a boot, whatever the wall clock does; after another boot
// by the wall clock, which lengthens neither a deadline nor a window, and where it tells nothing all time is up.
func TestMomentsOverProcesses(t *testing.T) {
	const deadline, sentAfter, gone = 10 * time.Second, time.Second, 3 * time.Second
	const left, sentAgo = deadline - sentAfter - gone, gone
	for _, c := range []struct {
		name      string
		after     func(m *fakeMachine) // beside gone, which passes
		left      time.Duration
		ago       time.Duration // since the attempt
		ejectedAt time.Duration // ago
	}{
		{"no step", func(*fakeMachine) {}, left, sentAgo, sentAgo},
		{"an hour forward", func(m *fakeMachine) { m.stepWallClock(time.Hour) }, left, sentAgo, sentAgo},
		{"an hour back", func(m *fakeMachine) { m.stepWallClock(-time.Hour) }, left, sentAgo, sentAgo},
		{"a second back", func(m *fakeMachine) { m.stepWallClock(-time.Second) }, left, sentAgo, sentAgo},
		{"there and back", func(m *fakeMachine) { m.stepWallClock(time.Hour); m.stepWallClock(-time.Hour) }, left, sentAgo, sentAgo},
		{"another boot", func(m *fakeMachine) { m.reboot(time.Second) }, left, sentAgo, sentAgo},
		{"another boot, forward", func(m *fakeMachine) { m.reboot(time.Second); m.stepWallClock(5 * time.Second) },
			left - 5*time.Second, sentAgo + 5*time.Second, sentAgo + 5*time.Second},
		{"another boot, back by less than it was gone", func(m *fakeMachine) { m.reboot(2 * time.Second); m.stepWallClock(-2 * time.Second) },
			left + time.Second, sentAgo - time.Second, sentAgo - time.Second},
		{"another boot, an hour back", func(m *fakeMachine) { m.reboot(time.Second); m.stepWallClock(-time.Hour) }, 0, 1 << 40, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, dir := &fakeMachine{now: instant.Boot.Add(time.Hour), wall: 1.7e18, boot: "one"}, t.TempDir()
			j := m.open(t, dir)
			m.stepWallClock(20 * time.Minute) // within the first process: its times do not show it
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
			for range 2 { // from the log, and from its compaction
				j = m.open(t, dir)
				e = j.Get("m")
				if got := e.ExpiresAt.Sub(m.now); got > c.left || got < c.left-time.Millisecond {
					t.Errorf("%v are left, want %v", got, c.left)
				}
				if got := m.now.Sub(e.Attempts[0].StartedAt); got < c.ago {
					t.Errorf("the attempt was %v ago, want %v", got, c.ago)
				}
				if got := m.now.Sub(j.Health()["h"].ChangedAt); got < c.ejectedAt || got > c.ejectedAt+time.Millisecond {
					t.Errorf("the outage began %v ago, want %v", got, c.ejectedAt)
				}
				_ = j.Close()
			}
		})
	}
}

// A directory of a program that kept no clocks is read by the wall clock.
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
		t.Errorf("%v are left", got)
	}
}

// removeClocks takes the clocks out of a segment's header, as a program wrote it that knew none.
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
