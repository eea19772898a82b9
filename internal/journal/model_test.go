package journal

import (
	"fmt"
	"log/slog"
	"os"
	"syscall"
	"testing"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler)) // the simulated crashes and damage log thousands of warnings
	os.Exit(m.Run())
}

// TestPowerLoss guards against a power loss that breaks a guarantee of the journal. It simulates losses after each call of
// a workload, and some a second time during the recovery, with random outcomes for unsynced data.
func TestPowerLoss(t *testing.T) {
	for _, power := range []bool{false, true} {
		total := 0
		for seed := range uint64(12) {
			states, err := simulatePowerLosses(power, withoutWrapper, false, 24, seed, nil)
			if err != nil {
				t.Errorf("durability Power %v, seed %d: %v", power, seed, err)
			}
			total += states
		}
		t.Logf("durability Power %v: checked %d states after a power loss", power, total)
		if total < 5000 {
			t.Errorf("checked %d states after a power loss, want at least 5000", total)
		}
	}
}

// tryAllChoices calls attempt once for each combination of results of pick, in the order of an odometer. A pick among more
// than nine numbers is limited to nine that are spread evenly over them. It returns the number of calls, and the first error.
func tryAllChoices(attempt func(pick func(int) int) error) (ways int, err error) {
	var chosen, alternatives []int
	for {
		at := 0
		err := attempt(func(n int) int {
			few := min(n, 9)
			if at == len(chosen) {
				chosen, alternatives = append(chosen, 0), append(alternatives, few)
			}
			at++
			if few < n {
				return chosen[at-1] * (n - 1) / (few - 1)
			}
			return chosen[at-1]
		})
		if ways++; err != nil {
			return ways, err
		}
		for at > 0 && chosen[at-1]+1 == alternatives[at-1] {
			at--
		}
		if chosen, alternatives = chosen[:at], alternatives[:at]; at == 0 {
			return ways, nil
		}
		chosen[at-1]++
	}
}

// TestPowerLossExhaustively guards against states after a power loss that the random choices of TestPowerLoss miss. It runs
// a short workload and checks every state that a power loss may leave after each call.
func TestPowerLossExhaustively(t *testing.T) {
	for _, power := range []bool{false, true} {
		states, m, p := 0, newCrashFS(), newGuarantees(power)
		m.afterCall = func(m *crashFS, call string) {
			ways, err := tryAllChoices(func(pick func(int) int) error { return checkAfterPowerLoss(m.afterPowerLoss(pick), p, nil, false) })
			if states += ways; err != nil {
				t.Fatalf("durability Power %v, power lost after call %d (%s): %v", power, m.calls, call, err)
			}
		}
		runWorkload(m, p, false, 4)
		t.Logf("durability Power %v: checked %d states after a power loss", power, states)
	}
}

// TestPowerLossOnFailingDisk guards against file system errors that, together with a power loss, break a guarantee. One or
// more calls fail with an error or a short write; every call of the workload is tried as the first one to fail.
func TestPowerLossOnFailingDisk(t *testing.T) {
	calls := 0
	countCalls := func(m *crashFS) FS {
		m.afterCall = func(m *crashFS, _ string) { calls = m.calls }
		return m
	}
	if _, err := simulatePowerLosses(true, countCalls, false, 1, 0, nil); err != nil {
		t.Fatal(err)
	}
	for _, power := range []bool{false, true} {
		for _, failure := range []error{syscall.ENOSPC, syscall.EIO, nil} {
			for at := 1; at <= calls; at++ {
				for _, long := range []int{1, 3, 1000} {
					_, err := simulatePowerLosses(power, withoutWrapper, false, 2, uint64(at),
						func(m *crashFS) { m.failFromCall, m.failedCalls, m.failure = at, long, failure })
					if err != nil {
						t.Fatalf("durability Power %v, error %v from call %d on for %d calls: %v", power, failure, at, long, err)
					}
				}
			}
		}
	}
}

// syncSkippingFS is a crashFS whose files ignore Sync. With onlyFirst, each file ignores only its first Sync, which should
// precede the rename of a segment.
type syncSkippingFS struct {
	*crashFS
	onlyFirst bool
}

// unsyncedFile is a file that ignores Sync.
type unsyncedFile struct{ *crashFile }

func (u unsyncedFile) Sync() error { return nil }

func (n *syncSkippingFS) Create(path string) (File, error) {
	f, err := n.crashFS.Create(path)
	if err != nil {
		return nil, err
	}
	file, ok := f.(*crashFile)
	switch {
	case !ok:
		return nil, fmt.Errorf("created file has type %T, want *crashFile", f)
	case n.onlyFirst:
		return &firstSyncSkippingFile{crashFile: file}, nil
	}
	return unsyncedFile{file}, nil
}

// firstSyncSkippingFile is a file that ignores its first Sync, so that the content of a segment becomes durable only with
// the first Commit after its rename.
type firstSyncSkippingFile struct {
	*crashFile
	skipped bool
}

func (s *firstSyncSkippingFile) Sync() error {
	if !s.skipped {
		s.skipped = true
		return nil
	}
	return s.crashFile.Sync()
}

// TestInjectedFaultsAreDetected guards against power loss tests that detect nothing. It injects a fault into the file system
// or the workload, and requires that a simulated power loss reveals it.
func TestInjectedFaultsAreDetected(t *testing.T) {
	for name, c := range map[string]struct {
		wrap  func(*crashFS) FS
		early bool
	}{
		"missing sync":           {func(m *crashFS) FS { return &syncSkippingFS{crashFS: m} }, false},
		"rename before sync":     {func(m *crashFS) FS { return &syncSkippingFS{crashFS: m, onlyFirst: true} }, false},
		"response before commit": {withoutWrapper, true},
	} {
		var found error
		for seed := uint64(0); seed < 12 && found == nil; seed++ {
			_, found = simulatePowerLosses(true, c.wrap, c.early, 24, seed, nil)
		}
		if found == nil {
			t.Errorf("no simulated power loss revealed the injected fault %s", name)
		} else {
			t.Logf("the injected fault %s was revealed: %v", name, found)
		}
	}
}
