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

// The benchmarks named "before" measure format 1, which older programs wrote, for comparison in the same run.

const (
	// benchDiskMB is a size limit of the directory that no benchmark reaches, in 10^6 bytes.
	benchDiskMB = 4000
	// benchHost is the name of the endpoint that all attempts use.
	benchHost = "s-3740d6df"
)

// benchEntry returns an entry with a body of 200 bytes. Its ID is derived from i.
func benchEntry(i int) *Entry {
	return &Entry{ID: fmt.Sprintf("%016x", i), Class: "payment", Dest: 7, Key: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
		ExpiresAt: clock.Now().Add(time.Hour), AcceptedAt: clock.Now(), Body: make([]byte, 200)}
}

// logV1 writes a journal of format 1. It counts the bytes written in size.
type logV1 struct {
	f    *os.File
	b    []byte
	size int
}

func (s *logV1) add(r recordV1, body []byte) { s.b, _ = appendV1(s.b, r, body) }

func (s *logV1) commit(b *testing.B) {
	b.Helper()
	n, err := s.f.Write(s.b)
	if err != nil {
		b.Fatal(err)
	}
	s.size += n
	s.b = s.b[:0]
}

// BenchmarkCommit accepts the number of messages in the name of the benchmark, starts an attempt for each and completes
// them, with one commit for each of these three steps.
func BenchmarkCommit(b *testing.B) {
	for _, n := range []int{1, 64, 1000} {
		b.Run(fmt.Sprintf("before/%d", n), func(b *testing.B) { benchmarkCommitV1(b, n) })
		for _, mode := range []string{"process", "power"} {
			b.Run(fmt.Sprintf("%s/%d", mode, n), func(b *testing.B) { benchmarkCommit(b, n, mode == "power") })
		}
	}
	b.Run("one sync a message/64", func(b *testing.B) { benchmarkSyncEach(b, 64) })
}

// benchmarkCommitV1 writes n messages to a journal of format 1, with one write for each step.
func benchmarkCommitV1(b *testing.B, n int) {
	b.Helper()
	f, err := os.Create(filepath.Join(b.TempDir(), formatV1File))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Close() })
	s := &logV1{f: f}
	for b.Loop() {
		for i := range n {
			e := benchEntry(i)
			s.add(recordV1{Op: "taken", Entry: &entryV1{e.ID, e.Class, e.Dest, e.Key, time.Unix(2e9, 0)}}, e.Body)
		}
		s.commit(b)
		for i := range n {
			s.add(recordV1{Op: "begun", ID: benchEntry(i).ID, Host: benchHost, At: time.Now()}, nil)
		}
		s.commit(b)
		for i := range n {
			s.add(recordV1{Op: "ended", ID: benchEntry(i).ID}, nil)
			s.add(recordV1{Op: "over", ID: benchEntry(i).ID}, nil)
		}
		s.commit(b)
	}
	reportThroughput(b, n, s.size)
}

// openForBenchmark opens a journal in a new directory.
func openForBenchmark(b *testing.B, power bool) *Journal {
	b.Helper()
	j, _, err := Open(b.TempDir(), Options{DiskMB: benchDiskMB, SurvivesPowerLoss: power})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = j.Close() })
	return j
}

// benchmarkCommit writes n messages, with one commit for all of them after each step.
func benchmarkCommit(b *testing.B, n int, power bool) {
	b.Helper()
	j := openForBenchmark(b, power)
	written := 0
	commitAll := func() {
		written += len(j.buffered)
		if err := j.Commit(); err != nil {
			b.Fatal(err)
		}
	}
	all := make([]*Entry, n)
	for b.Loop() {
		for i := range n {
			all[i] = benchEntry(i)
			j.Accept(all[i])
		}
		commitAll()
		for _, e := range all {
			j.StartAttempt(e, benchHost, clock.Now())
		}
		commitAll()
		for _, e := range all {
			j.EndAttempt(e, false)
			j.Complete(e)
		}
		commitAll()
	}
	reportThroughput(b, n, written)
}

// benchmarkSyncEach writes n messages under durability Power, with a separate commit for each step of each message.
func benchmarkSyncEach(b *testing.B, n int) {
	b.Helper()
	j := openForBenchmark(b, true)
	for b.Loop() {
		for i := range n {
			e := benchEntry(i)
			steps := []func(){
				func() { j.Accept(e) },
				func() { j.StartAttempt(e, benchHost, clock.Now()) },
				func() { j.EndAttempt(e, false); j.Complete(e) },
			}
			for _, step := range steps {
				step()
				if err := j.Commit(); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
	reportThroughput(b, n, 0)
}

// reportThroughput reports the records per second, and the time and the bytes written per message.
func reportThroughput(b *testing.B, n, written int) {
	b.Helper()
	messages := float64(n) * float64(b.N)
	b.ReportMetric(4*messages/b.Elapsed().Seconds(), "records/s")
	b.ReportMetric(b.Elapsed().Seconds()*1e6/messages, "µs/message")
	if written > 0 {
		b.ReportMetric(float64(written)/messages, "bytes/message")
	}
}

// BenchmarkOpen replays live messages with one attempt each, in both formats; the name of the benchmark holds the number of
// records. It reports the peak heap size during the replay as a multiple of the size of the replayed state.
func BenchmarkOpen(b *testing.B) {
	for _, live := range []int{0, 5000, 100_000, 500_000} {
		formatOne, segment := encodeBothFormats(b, live)
		b.Run(fmt.Sprintf("before/%d", 2*live), func(b *testing.B) {
			path := filepath.Join(b.TempDir(), formatV1File)
			writeFile(b, path, formatOne)
			benchmarkOpen(b, live, func() (*state, error) {
				raw, err := os.ReadFile(path)
				s := newState()
				s.replayV1(raw, &Report{})
				return s, err
			})
		})
		b.Run(fmt.Sprintf("now/%d", 2*live), func(b *testing.B) {
			dir := b.TempDir()
			writeFile(b, filepath.Join(dir, segmentFileName(1)), segment)
			benchmarkOpen(b, live, func() (*state, error) {
				s, _, err := loadState(Disk, dir, clock.BootID(), SystemClocks)
				return s, err
			})
		})
	}
}

// encodeBothFormats returns a journal with the given number of live messages, in format 1 and as a segment.
func encodeBothFormats(b *testing.B, live int) (formatOne, segment []byte) {
	b.Helper()
	s := newState()
	for i := range live {
		e := benchEntry(i)
		s.apply(&record{op: opAccepted, entrySeq: uint64(i + 1), entry: e})
		e.Attempts = []Attempt{{Host: benchHost, StartedAt: clock.Now()}}
	}
	formatOne, err := s.encodeV1()
	if err != nil {
		b.Fatal(err)
	}
	segment = header{format: Format, segment: 1, firstSequence: 1, boot: clock.BootID()}.encode()
	var sequence uint64
	var digest uint32
	add := func(r record) {
		sequence++
		segment, _ = appendFramed(segment, &r, sequence, digest, wallClockOnly)
		digest = r.digest()
	}
	add(record{op: opSnapshotEnd})
	for _, e := range s.liveEntries() {
		add(record{op: opAccepted, entrySeq: e.seq, entry: e})
		add(record{op: opAttemptStarted, entrySeq: e.seq, host: e.Attempts[0].Host, at: e.Attempts[0].StartedAt})
	}
	return formatOne, segment
}

// benchmarkOpen measures read, which must return a state with the given number of live messages.
func benchmarkOpen(b *testing.B, live int, read func() (*state, error)) {
	b.Helper()
	runtime.GC()
	var base, after runtime.MemStats
	runtime.ReadMemStats(&base)
	var peak atomic.Uint64
	done := make(chan bool)
	go recordPeakHeap(&peak, done) // returns when done is closed
	latest := make([]*state, 1)
	for b.Loop() {
		b.StopTimer()
		clear(latest) // so that the garbage collector frees the previous state before the next replay
		runtime.GC()
		b.StartTimer()
		got, err := read()
		if err != nil {
			b.Fatal(err)
		}
		latest[0] = got
		if len(got.entries) != live {
			b.Fatalf("the replayed state has %d live entries", len(got.entries))
		}
	}
	close(done)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(2*live)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
	if live > 1000 {
		b.ReportMetric(float64(peak.Load()-base.HeapAlloc)/float64(after.HeapAlloc-base.HeapAlloc), "most/live")
	}
	runtime.KeepAlive(latest)
}

// recordPeakHeap stores the largest observed heap size in peak, in bytes, until done is closed.
func recordPeakHeap(peak *atomic.Uint64, done <-chan bool) {
	var stats runtime.MemStats
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
			runtime.ReadMemStats(&stats)
			peak.Store(max(peak.Load(), stats.HeapAlloc))
		}
	}
}
