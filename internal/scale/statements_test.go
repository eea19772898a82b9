package scale

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/lab/platform"
)

const (
	// relayProgram is the package of the relay's program; countedPackages are the packages whose statements are
	// counted: those of this module.
	relayProgram    = "milletsail/cmd/relay"
	countedPackages = "milletsail/..."
	// Each kind of work lasts workSpan, with workRate messages or changes per second: workDone in all.
	workRate = 50
	workSpan = time.Second
	workDone = workRate * int(workSpan/time.Second)
)

// buildWithCoverage builds the relay with coverage counters, so that each executed statement is counted.
func buildWithCoverage(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "relay")
	build := exec.CommandContext(t.Context(), "go", "build", "-cover", "-covermode=atomic", "-coverpkg="+countedPackages, "-o", binary, relayProgram)
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the relay with coverage: %v: %s", err, out)
	}
	return binary
}

// work is the load on a relay between its start and its end.
type work func(ctx context.Context, b *testBed) error

func noWork(ctx context.Context, _ *testBed) error { clock.Sleep(ctx, workSpan); return nil }

func changeWork(ctx context.Context, b *testBed) error {
	_, err := b.changeAtRate(ctx, workRate, workSpan)
	return err
}

func messageWork(ctx context.Context, b *testBed) error {
	next := 0
	draw := func() int { next = (next + 1) % (shortList - reservedEntries); return reservedEntries + next }
	b.clients.sendAtRate(ctx, workRate, workSpan, usualDeadline, draw)
	if accepted := b.clients.accepted.Load(); accepted < int64(workDone) {
		return fmt.Errorf("the relay accepted %d of %d messages", accepted, workDone)
	}
	return nil
}

// statements returns the number of statements that a relay executes from its start to its end, with the given work in
// between.
func statements(ctx context.Context, binary, dir string, destinations int, do work) (count float64, err error) {
	plan := DefaultPlan()
	plan.Load.Down = Share{}
	subnet, err := platform.AcquireSubnet()
	if err != nil {
		return 0, err
	}
	defer subnet.Release()
	counters := filepath.Join(dir, "counters")
	if err := os.MkdirAll(counters, 0o700); err != nil {
		return 0, err
	}
	b, err := newTestBed(&plan, size{destinations: destinations}, binary, dir, subnet)
	if err != nil {
		return 0, err
	}
	defer b.close()
	b.env = []string{"GOCOVERDIR=" + counters}
	if _, err := b.start(ctx); err != nil {
		return 0, err
	}
	if err := b.awaitQuiet(ctx); err != nil {
		return 0, err
	}
	if err := do(ctx, b); err != nil {
		return 0, err
	}
	if !b.awaitAllChanges(ctx) {
		return 0, fmt.Errorf("the relay did not apply all changes of the list within %v", catchUpTimeout)
	}
	if err := b.awaitQuiet(ctx); err != nil {
		return 0, err
	}
	b.relay.End(syscall.SIGTERM, 2*stopTimeout)
	return executed(ctx, counters, filepath.Join(dir, "counts"))
}

// executed sums up the executed statements from the coverage counters in a directory; text is the path of the
// converted profile.
func executed(ctx context.Context, counters, text string) (sum float64, err error) {
	if out, err := exec.CommandContext(ctx, "go", "tool", "covdata", "textfmt", "-i="+counters, "-o="+text).CombinedOutput(); err != nil {
		return 0, fmt.Errorf("convert coverage counters: %w: %s", err, out)
	}
	file, err := os.Open(text)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text()) // code position, number of statements in the block, number of executions
		if len(fields) != 3 {
			continue
		}
		size, sizeErr := strconv.ParseFloat(fields[1], 64)
		times, timesErr := strconv.ParseFloat(fields[2], 64)
		if sizeErr == nil && timesErr == nil {
			sum += size * times
		}
	}
	if sum == 0 {
		return 0, fmt.Errorf("the relay wrote no coverage counters to %s", counters)
	}
	return sum, nil
}

// Guards against work that grows with the length of the list: neither a message nor a change may execute more
// statements with a hundred times the entries, which it does not touch.
func TestStatementsAreTheSame(t *testing.T) {
	binary := buildWithCoverage(t)
	works := map[string]work{"none": noWork, "change": changeWork, "message": messageWork}
	sums := map[string]map[int]float64{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for name, do := range works {
		sums[name] = map[int]float64{}
		for _, destinations := range []int{shortList, longList} {
			dir := t.TempDir()
			all.Go(func() {
				sum, err := statements(t.Context(), binary, dir, destinations, do)
				if err != nil {
					t.Errorf("counting statements for work %s at %d entries: %v", name, destinations, err)
				}
				mu.Lock()
				defer mu.Unlock()
				sums[name][destinations] = sum
			})
		}
	}
	all.Wait()
	if t.Failed() {
		return
	}
	for _, name := range []string{"change", "message"} {
		each := func(destinations int) float64 {
			return (sums[name][destinations] - sums["none"][destinations]) / float64(workDone)
		}
		short, long := each(shortList), each(longList)
		t.Logf("a %s executes %.0f statements at %d entries and %.0f at %d", name, short, shortList, long, longList)
		// The batching of events differs between runs, so that up to 1.5 times the statements is no growth. Work that
		// visits each entry would be far above that at a hundred times the entries.
		const slack = 500
		if long > 1.5*short+slack {
			t.Errorf("a %s executes %.0f statements at %d entries and %.0f at %d, want no growth", name, short, shortList, long, longList)
		}
	}
}
