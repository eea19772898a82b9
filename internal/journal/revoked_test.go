package journal

import (
	"syscall"
	"testing"
)

// TestRejectedEntriesAreNotReplayed guards against the delivery of a request whose client got an error: if Commit fails, a
// process that replays the directory after a kill must not find the entry. Each call of Commit fails once: when it appends
// records, and when it begins a new segment.
func TestRejectedEntriesAreNotReplayed(t *testing.T) {
	const maxCalls = 6 // a Commit that begins a segment calls create, write, sync, rename, sync of the directory and remove
	for _, compaction := range []bool{false, true} {
		for call := 1; call <= maxCalls; call++ {
			m := newCrashFS()
			j, _, err := Open("/d", Options{DiskMB: 3, SurvivesPowerLoss: true, Files: m, Boot: "one"})
			if err != nil {
				t.Fatal(err)
			}
			j.Accept(&Entry{ID: "before", Class: "order"})
			commit(t, j)
			if compaction {
				j.segmentSize = j.sizeLimit
			}
			j.Accept(&Entry{ID: "fresh", Class: "order"})
			m.failFromCall, m.failedCalls, m.failure = m.calls+call, 1, syscall.EIO
			failed := j.Commit() != nil
			m.failFromCall = 0
			after, _, err := Open("/d", Options{DiskMB: 3, SurvivesPowerLoss: true, Files: m, Boot: "one"})
			if err != nil {
				t.Fatal(err)
			}
			if after.Get("before") == nil || (after.Get("fresh") != nil) == failed {
				t.Errorf("compaction %v, call %d fails: commit failed %v, replayed entry before %v, fresh %v",
					compaction, call, failed, after.Get("before"), after.Get("fresh"))
			}
		}
	}
}
