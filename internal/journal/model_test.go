package journal

import (
	"fmt"
	"log/slog"
	"os"
	"syscall"
	"testing"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler)) // models of damage make for thousands of warnings
	os.Exit(m.Run())
}

// Whatever a power loss leaves, at any call and twice in a row, the promises are kept.
func TestPowerLoss(t *testing.T) {
	for _, power := range []bool{false, true} {
		total := 0
		for seed := range uint64(12) {
			states, err := simulatePowerLosses(power, withoutWrapper, false, 24, seed, nil)
			if err != nil {
				t.Errorf("power %v, seed %d: %v", power, seed, err)
			}
			total += states
		}
		t.Logf("power %v: %d states", power, total)
		if total < 5000 {
			t.Errorf("only %d states were looked at", total)
		}
	}
}

// tryAllChoices tries all ways to choose, in the order of an odometer; a choice among many is one among nine spread over them.
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

// A few rounds, with every state that a power loss may leave at any of its calls.
func TestPowerLossExhaustively(t *testing.T) {
	for _, power := range []bool{false, true} {
		states, m, p := 0, newCrashFS(), newGuarantees(power)
		m.afterCall = func(m *crashFS, call string) {
			ways, err := tryAllChoices(func(pick func(int) int) error { return checkAfterPowerLoss(m.afterPowerLoss(pick), p, nil, false) })
			if states += ways; err != nil {
				t.Fatalf("power %v, after call %d, a %s: %v", power, m.calls, call, err)
			}
		}
		runWorkload(m, p, false, 4)
		t.Logf("power %v: %d states", power, states)
	}
}

// The same with a file system that fails: at each call, for one call or for some, by an error or a short write.
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
					_, err := simulatePowerLosses(power, withoutWrapper, false, 2, uint64(at), func(m *crashFS) { m.failFromCall, m.failedCalls, m.failure = at, long, failure })
					if err != nil {
						t.Fatalf("power %v, %v from call %d for %d: %v", power, failure, at, long, err)
					}
				}
			}
		}
	}
}

// syncSkippingFS is a file system that leaves syncs out, or only those that should come before a rename.
type syncSkippingFS struct {
	*crashFS
	onlyFirst bool
}

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
		return nil, fmt.Errorf("a file of type %T", f)
	case n.onlyFirst:
		return &firstSyncSkippingFile{crashFile: file}, nil
	}
	return unsyncedFile{file}, nil
}

// firstSyncSkippingFile leaves its first sync out: the content of a segment is durable only with the commit after its rename.
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

// The checks above find planted faults: a missing sync, one that comes after the rename, an answer before the commit.
func TestPlantedFaultsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		wrap  func(*crashFS) FS
		early bool
	}{
		"no sync":                {func(m *crashFS) FS { return &syncSkippingFS{crashFS: m} }, false},
		"rename before the sync": {func(m *crashFS) FS { return &syncSkippingFS{crashFS: m, onlyFirst: true} }, false},
		"answer before commit":   {withoutWrapper, true},
	} {
		var found error
		for seed := uint64(0); seed < 12 && found == nil; seed++ {
			_, found = simulatePowerLosses(true, c.wrap, c.early, 24, seed, nil)
		}
		if found == nil {
			t.Errorf("%s: not found", name)
		} else {
			t.Logf("%s: %v", name, found)
		}
	}
}
