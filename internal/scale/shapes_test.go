package scale

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"regexp"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/lab/platform"
	"milletsail/internal/relay"
	"milletsail/internal/scale/hollow"
)

// TestMain lets the test binary run as the programs that a scale run starts: as hollow relays if it has their
// command, as a relay if NODE_CONFIG is set.
func TestMain(m *testing.M) {
	switch {
	case len(os.Args) > 2 && os.Args[1] == "scale" && os.Args[2] == HollowCommand:
		exitWith(hollow.Run(context.Background(), os.Stdin, os.Stdout))
	case os.Getenv("NODE_CONFIG") != "":
		exitWith(runRelay())
	}
	os.Exit(m.Run())
}

func exitWith(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// reportEvery is the interval at which a relay under test reports its heap size and allocations.
const reportEvery = 100 * time.Millisecond

// runRelay runs a relay like its own program. It collects garbage before each report, so that the reported heap
// contains only live objects.
func runRelay() error {
	slog.SetLogLoggerLevel(slog.LevelError)
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
	c, err := relay.ReadConfig(os.Getenv("NODE_CONFIG"))
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	go func() {
		for range time.Tick(reportEvery) {
			debug.FreeOSMemory()
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			fmt.Fprintf(os.Stderr, "live %d allocated %d\n", stats.HeapAlloc, stats.TotalAlloc)
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return relay.Run(ctx, c, os.Getenv("NODE_STATE"), make(chan string))
}

// The two list lengths that are compared, and the number and rate of changes and messages at each.
const (
	shortList, longList = 300, 30_000
	countedChanges      = 16
	changeRate          = 10 // changes per second, so that the relay has applied each change before the next
	countedMessages     = 100
	countedRate         = 100 // messages per second
)

// counts is the cost of changes and messages at one length of the list.
type counts struct {
	live            int64   // live heap in bytes before any traffic
	changeBytes     float64 // bytes written for each change of one entry
	changeCalls     float64 // write calls for each change
	messageBytes    float64 // bytes written for each message
	messageCalls    float64
	messageAllocate float64 // heap bytes allocated for each message
}

var memoryReport = regexp.MustCompile(`^live (\d+) allocated (\d+)`)

// allocations waits until the relay has reported again, and returns the live heap and the total allocation in bytes.
func (m *single) allocations(t *testing.T) (live, allocated int64) {
	t.Helper()
	time.Sleep(3 * reportEvery)
	if _, err := fmt.Sscanf(m.relay.Find(memoryReport), "live %d allocated %d", &live, &allocated); err != nil {
		t.Fatalf("the relay has not reported its memory: %v; its last log line is %q", err, m.relay.LastLine())
	}
	return live, allocated
}

// awaitQuiet waits until the relay has stopped writing, so that the work of its start is not counted.
func (b *testBed) awaitQuiet(ctx context.Context) error {
	const (
		quietInterval = 500 * time.Millisecond
		timeLimit     = 10 * time.Second
		allowedBytes  = 1 << 10 // bytes per interval that the Go runtime itself may write
	)
	last := int64(0)
	for end := time.Now().Add(timeLimit); time.Now().Before(end); clock.Sleep(ctx, quietInterval) {
		usage, err := b.relay.Usage()
		if err != nil {
			return err
		}
		if usage.WrittenBytes-last < allowedBytes {
			return nil
		}
		last = usage.WrittenBytes
	}
	return fmt.Errorf("the relay is still writing after %v, want less than %d bytes in %v", timeLimit, allowedBytes, quietInterval)
}

// countAt measures the counts at one length of the list.
func countAt(t *testing.T, destinations int) (c counts) {
	t.Helper()
	plan := DefaultPlan()
	plan.Load.Down = Share{}
	subnet, err := platform.AcquireSubnet()
	if err != nil {
		t.Fatal(err)
	}
	defer subnet.Release()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	b, err := newTestBed(&plan, size{destinations: destinations}, self, t.TempDir(), subnet)
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	b.env = []string{"GODEBUG="} // no trace of garbage collections: it would add write calls
	m := &single{testBed: b}
	ctx := t.Context()
	if _, err := m.start(ctx); err != nil {
		t.Fatal(err)
	}
	if err := m.awaitQuiet(ctx); err != nil {
		t.Fatal(err)
	}
	c.live, _ = m.allocations(t)

	changes, err := m.measure(ctx, func() (int, error) {
		all, err := m.changeAtRate(ctx, changeRate, countedChanges*time.Second/changeRate)
		return len(all), err
	})
	if err != nil {
		t.Fatal(err)
	}
	if !m.awaitAllChanges(ctx) {
		t.Fatalf("the relay did not apply all changes of the list within %v", catchUpTimeout)
	}
	c.changeBytes, c.changeCalls = float64(changes.written)/countedChanges, float64(changes.calls)/countedChanges

	// Messages go to the same destinations at both lengths of the list, in turn.
	next := 0
	draw := func() int { next = (next + 1) % (shortList - reservedEntries); return reservedEntries + next }
	_, before := m.allocations(t)
	messages, err := m.measure(ctx, func() (int, error) {
		m.clients.sendAtRate(ctx, countedRate, countedMessages*time.Second/countedRate, usualDeadline, draw)
		return 0, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	_, after := m.allocations(t)
	if delivered := m.endpoints.Delivered(); delivered < countedMessages {
		t.Fatalf("the relay delivered %d messages, want at least %d", delivered, countedMessages)
	}
	c.messageBytes, c.messageCalls = float64(messages.written)/countedMessages, float64(messages.calls)/countedMessages
	c.messageAllocate = float64(after-before) / countedMessages
	return c
}

var (
	countOnce               sync.Once
	shortCounts, longCounts counts
)

// count returns the counts at both lengths of the list; they are measured once for all tests.
func count(t *testing.T) (short, long counts) {
	t.Helper()
	countOnce.Do(func() {
		shortCounts, longCounts = countAt(t, shortList), countAt(t, longList)
	})
	t.Logf("%d entries: %+v", shortList, shortCounts)
	t.Logf("%d entries: %+v", longList, longCounts)
	return shortCounts, longCounts
}

// noGrowth reports whether a count does not grow from the short to the long list. The slack allows for what the Go
// runtime writes itself and for the additional digits of larger numbers.
func noGrowth(short, long, slack float64) bool { return long <= 1.1*short+slack }

// Guards against list updates that rewrite the whole list: a change of one entry must write as many bytes, in as many
// calls, whatever the length of the list.
func TestChangeWritesTheSame(t *testing.T) {
	short, long := count(t)
	if !noGrowth(short.changeBytes, long.changeBytes, 100) {
		t.Errorf("a change writes %.0f bytes at %d entries and %.0f at %d, want no growth", short.changeBytes, shortList, long.changeBytes, longList)
	}
	if !noGrowth(short.changeCalls, long.changeCalls, 1) {
		t.Errorf("a change takes %.1f write calls at %d entries and %.1f at %d, want no growth", short.changeCalls, shortList, long.changeCalls, longList)
	}
}

// maxIdleBytes is the largest memory in bytes that a relay may use for a list entry without traffic. The design goal
// is 110 bytes; the rest allows for a map that is half empty.
const maxIdleBytes = 250

// Guards against per-destination state that is allocated before a destination has traffic.
func TestIdleDestinationsAreCompact(t *testing.T) {
	short, long := count(t)
	if each := float64(long.live-short.live) / (longList - shortList); each > maxIdleBytes {
		t.Errorf("a list entry without traffic takes %.0f bytes of memory, want at most %d", each, maxIdleBytes)
	}
}

// Guards against work for a message that grows with the destinations that it does not touch: it must write and
// allocate as much at both lengths of the list.
func TestMessageWorkIsTheSame(t *testing.T) {
	short, long := count(t)
	if !noGrowth(short.messageBytes, long.messageBytes, 100) || !noGrowth(short.messageCalls, long.messageCalls, 1) {
		t.Errorf("a message writes %.0f bytes in %.1f calls at %d entries, and %.0f in %.1f at %d, want no growth", short.messageBytes, short.messageCalls,
			shortList, long.messageBytes, long.messageCalls, longList)
	}
	if !noGrowth(short.messageAllocate, long.messageAllocate, 4<<10) {
		t.Errorf("a message allocates %.0f bytes at %d entries, and %.0f at %d, want no growth", short.messageAllocate, shortList, long.messageAllocate, longList)
	}
}
