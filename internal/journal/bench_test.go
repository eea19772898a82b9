package journal

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"milletsail/internal/clock"
)

// The version before wrote format 1, whose code is still here: it is measured in the same run.

const benchMB = 4000

func message(i int) *Entry {
	return &Entry{ID: fmt.Sprintf("%016x", i), Class: "payment", Dest: 7, Key: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
		ExpiresAt: clock.Now().Add(time.Hour), AcceptedAt: clock.Now(), Body: make([]byte, 200)}
}

// sink is the log of format 1.
type sink struct {
	f    *os.File
	b    []byte
	size int
}

func (s *sink) add(r recordV1, body []byte) { s.b, _ = appendV1(s.b, r, body) }

func (s *sink) commit(b *testing.B) {
	n, err := s.f.Write(s.b)
	if err != nil {
		b.Fatal(err)
	}
	s.size += n
	s.b = s.b[:0]
}

// BenchmarkCommit: so many messages at once are taken on, tried, and end, in three commits.
func BenchmarkCommit(b *testing.B) {
	host := "s-3740d6df"
	for _, n := range []int{1, 64, 1000} {
		b.Run(fmt.Sprintf("before/%d", n), func(b *testing.B) {
			f, err := os.Create(filepath.Join(b.TempDir(), formatV1File))
			if err != nil {
				b.Fatal(err)
			}
			defer f.Close()
			s := &sink{f: f}
			for b.Loop() {
				for i := range n {
					e := message(i)
					s.add(recordV1{Op: "taken", Entry: &entryV1{e.ID, e.Class, e.Dest, e.Key, time.Unix(2e9, 0)}}, e.Body)
				}
				s.commit(b)
				for i := range n {
					s.add(recordV1{Op: "begun", ID: message(i).ID, Host: host, At: time.Now()}, nil)
				}
				s.commit(b)
				for i := range n {
					s.add(recordV1{Op: "ended", ID: message(i).ID}, nil)
					s.add(recordV1{Op: "over", ID: message(i).ID}, nil)
				}
				s.commit(b)
			}
			figures(b, n, s.size)
		})
		for _, mode := range []string{"process", "power"} {
			b.Run(fmt.Sprintf("%s/%d", mode, n), func(b *testing.B) {
				j, _, err := Open(b.TempDir(), Options{DiskMB: benchMB, SurvivesPowerLoss: mode == "power"})
				if err != nil {
					b.Fatal(err)
				}
				defer j.Close()
				written := 0
				commit := func() {
					written += len(j.buffered)
					if err := j.Commit(); err != nil {
						b.Fatal(err)
					}
				}
				all := make([]*Entry, n)
				for b.Loop() {
					for i := range n {
						all[i] = message(i)
						j.Accept(all[i])
					}
					commit()
					for _, e := range all {
						j.StartAttempt(e, host, clock.Now())
					}
					commit()
					for _, e := range all {
						j.EndAttempt(e, false)
						j.Complete(e)
					}
					commit()
				}
				figures(b, n, written)
			})
		}
	}
	b.Run("one sync a message/64", func(b *testing.B) {
		j, _, err := Open(b.TempDir(), Options{DiskMB: benchMB, SurvivesPowerLoss: true})
		if err != nil {
			b.Fatal(err)
		}
		defer j.Close()
		for b.Loop() {
			for i := range 64 {
				e := message(i)
				for _, step := range []func(){func() { j.Accept(e) }, func() { j.StartAttempt(e, host, clock.Now()) }, func() { j.EndAttempt(e, false); j.Complete(e) }} {
					step()
					if err := j.Commit(); err != nil {
						b.Fatal(err)
					}
				}
			}
		}
		figures(b, 64, 0)
	})
}

func figures(b *testing.B, n, written int) {
	messages := float64(n) * float64(b.N)
	b.ReportMetric(4*messages/b.Elapsed().Seconds(), "records/s")
	b.ReportMetric(b.Elapsed().Seconds()*1e6/messages, "µs/message")
	if written > 0 {
		b.ReportMetric(float64(written)/messages, "bytes/message")
	}
}

// BenchmarkOpen: a folder with so many live messages and an attempt each is opened; the most that was in memory
// meanwhile, by what is live after it.
func BenchmarkOpen(b *testing.B) {
	for _, live := range []int{0, 5000, 100_000, 500_000} {
		s := newState()
		for i := range live {
			e := message(i)
			s.apply(&record{op: opAccepted, entrySeq: uint64(i + 1), entry: e})
			e.Attempts = []Attempt{{Host: "s-3740d6df", StartedAt: clock.Now()}}
		}
		old, err := s.encodeV1()
		if err != nil {
			b.Fatal(err)
		}
		j := &Journal{state: s, options: Options{Boot: clock.BootID()}}
		now := header{format: Format, segment: 1, firstSequence: 1, boot: clock.BootID()}.encode()
		var seq uint64
		var before uint32
		add := func(r record) {
			seq++
			now, _ = appendFramed(now, &r, seq, before, wallClockOnly)
			before = r.digest()
		}
		add(record{op: opSnapshotEnd})
		for _, e := range j.liveEntries() {
			add(record{op: opAccepted, entrySeq: e.seq, entry: e})
			add(record{op: opAttemptStarted, entrySeq: e.seq, host: e.Attempts[0].Host, at: e.Attempts[0].StartedAt})
		}
		s, j = nil, nil
		for name, c := range map[string]struct {
			file string
			raw  []byte
		}{"before": {formatV1File, old}, "now": {segmentFileName(1), now}} {
			b.Run(fmt.Sprintf("%s/%d", name, 2*live), func(b *testing.B) {
				dir := b.TempDir()
				path := filepath.Join(dir, c.file)
				if err := os.WriteFile(path, c.raw, 0o600); err != nil {
					b.Fatal(err)
				}
				runtime.GC()
				var base, mem runtime.MemStats
				runtime.ReadMemStats(&base)
				var most atomic.Uint64
				done := make(chan bool)
				go func() {
					var m runtime.MemStats
					for {
						select {
						case <-done:
							return
						case <-time.After(5 * time.Millisecond):
							runtime.ReadMemStats(&m)
							most.Store(max(most.Load(), m.HeapAlloc))
						}
					}
				}()
				var got *state
				for b.Loop() {
					b.StopTimer()
					got = nil
					runtime.GC()
					b.StartTimer()
					if name == "before" {
						raw, err := os.ReadFile(path)
						if err != nil {
							b.Fatal(err)
						}
						got = newState()
						got.replayV1(raw, &Report{})
					} else {
						var err error
						if got, _, err = loadState(Disk, dir, clock.BootID(), SystemClocks); err != nil {
							b.Fatal(err)
						}
					}
					if len(got.entries) != live {
						b.Fatalf("%d live", len(got.entries))
					}
				}
				close(done)
				runtime.GC()
				runtime.ReadMemStats(&mem)
				b.ReportMetric(float64(2*live)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
				if live > 1000 {
					b.ReportMetric(float64(most.Load()-base.HeapAlloc)/float64(mem.HeapAlloc-base.HeapAlloc), "most/live")
				}
				runtime.KeepAlive(got)
			})
		}
	}
}
