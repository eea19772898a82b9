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

// TestMain has the test binary stand in for the programs that a run starts: a relay where it is given a configuration,
// and hollow relays by their command.
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

// reportEvery is the time between reports of a relay in a test on its own allocations.
const reportEvery = 100 * time.Millisecond

// runRelay runs a relay as its own program does. It collects its garbage all the time, so that what it reports as live is
// live, and reports what it has allocated.
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

// The sizes that are compared, and how much is done at each.
const (
	shortList, longList = 300, 30_000
	countedChanges      = 16
	changeRate          = 10 // a second: each is over before the next
	countedMessages     = 100
	countedRate         = 100 // a second
)

// counts is what a relay counted at one size of the list.
type counts struct {
	live            int64   // bytes, with no traffic yet
	changeBytes     float64 // written for a change of one entry
	changeCalls     float64 // of write, for a change
	messageBytes    float64 // written for a message
	messageCalls    float64
	messageAllocate float64 // bytes allocated for a message
}

var reported = regexp.MustCompile(`^live (\d+) allocated (\d+)`)

// allocations waits for two further reports of a relay and gives the second.
func (m *single) allocations(t *testing.T) (live, allocated int64) {
	t.Helper()
	time.Sleep(3 * reportEvery)
	if _, err := fmt.Sscanf(m.relay.Find(reported), "live %d allocated %d", &live, &allocated); err != nil {
		t.Fatalf("no report of the relay: %v; its last line: %q", err, m.relay.LastLine())
	}
	return live, allocated
}

// awaitQuiet waits until the relay writes nothing more, as after a start, whose work is not what is counted.
func (b *testBed) awaitQuiet(ctx context.Context) error {
	const (
		still   = 500 * time.Millisecond
		mostIn  = 10 * time.Second
		ownNote = 1 << 10 // bytes that a runtime writes to itself
	)
	last := int64(0)
	for end := time.Now().Add(mostIn); time.Now().Before(end); clock.Sleep(ctx, still) {
		usage, err := b.relay.Usage()
		if err != nil {
			return err
		}
		if usage.WrittenBytes-last < ownNote {
			return nil
		}
		last = usage.WrittenBytes
	}
	return fmt.Errorf("the relay still writes after %v", mostIn)
}

// countAt counts at one size of the list.
func countAt(t *testing.T, destinations int) (c counts) {
	t.Helper()
	plan := DefaultPlan()
	plan.Load.Down = Share{}
	subnet, err := platform.TakeSubnet()
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
	b.env = []string{"GODEBUG="} // no trace of collections, which is written in many calls
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
		t.Fatal("changes were not taken in")
	}
	c.changeBytes, c.changeCalls = float64(changes.written)/countedChanges, float64(changes.calls)/countedChanges

	// The same destinations get messages at both sizes, one after the other.
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
		t.Fatalf("%d of %d messages were delivered", delivered, countedMessages)
	}
	c.messageBytes, c.messageCalls = float64(messages.written)/countedMessages, float64(messages.calls)/countedMessages
	c.messageAllocate = float64(after-before) / countedMessages
	return c
}

var (
	countOnce               sync.Once
	shortCounts, longCounts counts
)

// count counts at both sizes, once for all tests.
func count(t *testing.T) (short, long counts) {
	t.Helper()
	countOnce.Do(func() {
		shortCounts, longCounts = countAt(t, shortList), countAt(t, longList)
	})
	t.Logf("%d entries: %+v", shortList, shortCounts)
	t.Logf("%d entries: %+v", longList, longCounts)
	return shortCounts, longCounts
}

// equal tells whether a count is the same at both sizes, but for what a runtime writes to itself and the digits of
// longer numbers.
func equal(short, long, slack float64) bool { return long <= 1.1*short+slack }

// A change of one entry writes the same, in bytes and in calls, whatever the length of the list.
func TestChangeWritesTheSame(t *testing.T) {
	short, long := count(t)
	if !equal(short.changeBytes, long.changeBytes, 100) {
		t.Errorf("a change writes %.0f bytes at %d entries and %.0f at %d", short.changeBytes, shortList, long.changeBytes, longList)
	}
	if !equal(short.changeCalls, long.changeCalls, 1) {
		t.Errorf("a change writes %.1f times at %d entries and %.1f times at %d", short.changeCalls, shortList, long.changeCalls, longList)
	}
}

// idleBytes is the most that a relay may keep of an entry without traffic: the goal is 110 bytes, and a map's room may be
// half empty.
const idleBytes = 250

// What is kept for a destination without traffic is bounded.
func TestIdleDestinationsAreCompact(t *testing.T) {
	short, long := count(t)
	if each := float64(long.live-short.live) / (longList - shortList); each > idleBytes {
		t.Errorf("an entry without traffic keeps %.0f bytes, %d at most", each, idleBytes)
	}
}

// The work for a message does not grow with the destinations that it does not touch: it writes and allocates the same.
func TestMessageWorkIsTheSame(t *testing.T) {
	short, long := count(t)
	if !equal(short.messageBytes, long.messageBytes, 100) || !equal(short.messageCalls, long.messageCalls, 1) {
		t.Errorf("a message writes %.0f bytes in %.1f calls at %d entries, and %.0f in %.1f at %d", short.messageBytes, short.messageCalls,
			shortList, long.messageBytes, long.messageCalls, longList)
	}
	if !equal(short.messageAllocate, long.messageAllocate, 4<<10) {
		t.Errorf("a message allocates %.0f bytes at %d entries, and %.0f at %d", short.messageAllocate, shortList, long.messageAllocate, longList)
	}
}
