package endpoints

import (
	"errors"
	"testing"
)

// Guards against a store that exceeds its disk budget, leaves files behind when it is disabled, or reports the error more than
// once.
func TestStoreBudget(t *testing.T) {
	const entries = 5_000
	whole := newModelFS()
	fillStore(t, whole, testBudget, entries)
	for budget := int64(0); budget < 2_000_000; budget += 10_007 {
		fsys := newModelFS()
		s, errs := fillStore(t, fsys, budget, entries)
		reason, disabled := s.Disabled()
		if !disabled {
			continue
		}
		tooSmall := new(BudgetError)
		if !errors.As(reason, &tooSmall) || tooSmall.Budget != budget || tooSmall.Needed <= budget {
			t.Fatalf("budget %d: got reason %v, want a BudgetError with this budget and a larger need", budget, reason)
		}
		if len(fsys.files) != 0 || s.Bytes() != 0 {
			t.Fatalf("budget %d: %d files left by the disabled store, want none", budget, len(fsys.files))
		}
		if errs != 1 {
			t.Fatalf("budget %d: Commit returned an error %d times, want once", budget, errs)
		}
	}
	s, _ := fillStore(t, newModelFS(), 2_000_000, entries)
	if _, disabled := s.Disabled(); disabled {
		t.Error("store with a budget of 2,000,000 bytes is disabled although the list fits")
	}
}

// fillStore puts a list twice into a store with the given budget, with compactions in between. It returns the store and the
// number of errors that Commit returned.
func fillStore(t *testing.T, fsys *modelFS, budget int64, entries int) (s *Store, errs int) {
	t.Helper()
	s, table, _, _ := open(t, fsys, budget)
	fsys.onCall = func() {
		if s.Bytes() > budget {
			t.Fatalf("store has %d bytes on disk, budget is %d bytes", s.Bytes(), budget)
		}
	}
	for i := range 2 * entries {
		e := exampleEntry(i % entries)
		e.BornMS = int64(i)
		table.Put(e)
		s.Append([]Entry{e}, nil)
		if i%10 == 9 {
			if s.Commit(int64(i)) != nil {
				errs++
			}
			if i%2000 == 1999 && s.compaction == nil && s.disabled == nil {
				s.startCompaction()
			}
			s.CompactStep(table)
		}
	}
	return s, errs
}
