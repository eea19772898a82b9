package journal

import (
	"syscall"
	"testing"
)

// A message whose Commit failed was rejected, and a process that reads the directory after a kill must not find it: not after a
// short write, nor after a sync that failed, be it of a record or of a new segment and its directory.
func TestRefusedMessagesDoNotComeBack(t *testing.T) {
	const maxCalls = 6 // of a Commit that begins a segment: create, write, sync, rename, sync of the folder, remove
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
				t.Errorf("compaction %v, call %d: commit failed %v, before %v, fresh %v",
					compaction, call, failed, after.Get("before"), after.Get("fresh"))
			}
		}
	}
}
