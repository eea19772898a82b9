package endpoints

import (
	"errors"
	"testing"
)

// A list that does not fit is not kept: no file is left, and Commit says so once.
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
			t.Fatalf("budget %d: %v", budget, reason)
		}
		if len(fsys.files) != 0 || s.Bytes() != 0 {
			t.Fatalf("budget %d: %d files left", budget, len(fsys.files))
		}
		if errs != 1 {
			t.Fatalf("budget %d: said %d times", budget, errs)
		}
	}
	s, _ := fillStore(t, newModelFS(), 2_000_000, entries)
	if _, disabled := s.Disabled(); disabled {
		t.Error("disabled though there is room")
	}
}

// fillStore makes a list and compactions within a budget, and gives how often Commit said that it is too small.
func fillStore(t *testing.T, fsys *modelFS, budget int64, entries int) (s *Store, errs int) {
	t.Helper()
	s, table, _, _ := open(t, fsys, budget)
	fsys.onCall = func() {
		if s.Bytes() > budget {
			t.Fatalf("%d bytes of %d", s.Bytes(), budget)
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
