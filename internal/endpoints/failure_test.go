package endpoints

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"testing"
)

// failingDisk describes how calls of the file system fail. Its fields have the meaning of those of modelFS.
type failingDisk struct {
	failure     error
	writesFully bool
	failFor     int // number of calls that fail
}

// Lets each call of the file system fail in turn, and inspects what a kill at any call would leave. Guards against wrong entries
// being read back, and against a store that does not persist again once calls succeed.
func TestStoreFailingDisk(t *testing.T) {
	full := errors.New("no space left")
	for _, disk := range []failingDisk{{nil, false, 1}, {full, false, 1}, {full, true, 1}, {nil, false, 3}, {full, false, 3},
		{full, true, 3}, {nil, false, 1000}, {full, false, 1000}, {full, true, 1000}} {
		for failAt := 1; runFailure(t, disk, failAt); failAt++ {
		}
	}
}

// runFailure runs changes and compactions during which the calls of the file system fail from call failAt on. It reports whether
// that call was reached.
func runFailure(t *testing.T, disk failingDisk, failAt int) bool {
	t.Helper()
	fsys := newModelFS()
	h := newHarness(t, fsys, 5, 20)
	fsys.failAt, fsys.failFor, fsys.failure, fsys.writesFully = failAt, disk.failFor, disk.failure, disk.writesFully
	when := fmt.Sprintf("%+v, from call %d on", disk, failAt)
	fsys.onCall = func() { h.check(t, fsys.afterKill(), h.durable, fmt.Sprintf("%s, at call %d", when, fsys.calls)) }
	for range 3 {
		for range 3 {
			h.change()
		}
		h.compact()
	}
	h.change()
	failed := fsys.calls >= failAt
	fsys.failAt = 0
	h.compact()
	h.change()
	if h.store.Failure() != nil || h.durable != len(h.commits)-1 {
		t.Fatalf("%s: store does not persist again after the fault: %v", when, h.store.Failure())
	}
	h.check(t, fsys.afterKill(), h.durable, when+", after it")
	return failed
}

// deferredWork holds the functions that a store has passed to Store.background and that have not run yet.
type deferredWork []func()

func (b *deferredWork) run() {
	for _, f := range *b {
		f()
	}
	*b = nil
}

// Guards against forgetting a failed log write when the snapshot that was being synced at that time is published: the snapshot
// lacks the changes that the write lost, whether or not it recovers from an earlier failure itself.
func TestStoreLogWriteFailsDuringSnapshotSync(t *testing.T) {
	for _, recovery := range []bool{false, true} {
		fsys := newModelFS()
		h := newHarness(t, fsys, 5, 20)
		held := &deferredWork{}
		h.change()
		if recovery {
			fsys.failAt, fsys.failFor = fsys.calls+1, 1
			h.change()
			if h.store.Failure() == nil {
				t.Fatal("Failure is nil after a failed log write")
			}
		}
		h.store.background = func(f func()) { *held = append(*held, f) }
		h.compact()
		fsys.failAt, fsys.failFor = fsys.calls+1, 1
		h.change()
		held.run()
		fsys.failAt = 0
		h.store.CompactStep(h.table)
		fsys.onCall = func() {
			h.check(t, fsys.afterKill(), h.durable, fmt.Sprintf("recovery %v, call %d", recovery, fsys.calls))
		}
		h.change()
		if h.store.Failure() == nil {
			t.Errorf("recovery %v: Failure is nil after the publication of a snapshot older than the failed write", recovery)
		}
		h.store.background = func(f func()) { f() }
		h.compact()
		h.change()
		if h.store.Failure() != nil || h.durable != len(h.commits)-1 {
			t.Errorf("recovery %v: store does not persist again after a new snapshot: %v", recovery, h.store.Failure())
		}
		h.check(t, fsys.afterKill(), h.durable, fmt.Sprintf("recovery %v", recovery))
	}
}

// Guards against changes lost while a snapshot is being synced, and against a Close that does not wait for its publication.
func TestStoreCloseWaitsForSnapshot(t *testing.T) {
	fsys := newModelFS()
	h := newHarness(t, fsys, 5, 20)
	h.change()
	held := &deferredWork{}
	h.store.background = func(f func()) { *held = append(*held, f) }
	h.compact()
	h.change()
	h.check(t, fsys.afterKill(), len(h.commits)-1, "before the snapshot is published")
	held.run()
	if err := h.store.Close(); err != nil {
		t.Fatal(err)
	}
	if h.store.stored[0].kind != kindSnapshot {
		t.Errorf("files after Close are %+v, want a snapshot first", h.store.stored)
	}
	h.check(t, fsys.afterKill(), len(h.commits)-1, "after Close")
}

// Guards against applying a log in which a record is missing or two records are swapped, although each record is valid by
// itself.
func TestStoreDetectsMissingOrSwappedRecords(t *testing.T) {
	fsys := newModelFS()
	h := newHarness(t, fsys, 7, 6)
	for range 10 {
		h.change()
	}
	path := currentLog(h.store)
	records := splitRecords(fsys.files[path].data)
	for i := 1; i+1 < len(records); i++ {
		left := fsys.afterKill()
		left.files[path].data = slices.Concat(slices.Concat(records[:i]...), slices.Concat(records[i+1:]...))
		h.check(t, left, 0, fmt.Sprintf("without record %d", i))
		if _, _, _, found := open(t, left, testBudget); len(found.Damage) == 0 {
			t.Errorf("no damage reported although record %d is missing", i)
		}
		if bytes.Equal(records[i], records[i+1]) {
			continue
		}
		swapped := slices.Clone(records)
		swapped[i], swapped[i+1] = swapped[i+1], swapped[i]
		left = fsys.afterKill()
		left.files[path].data = slices.Concat(swapped...)
		h.check(t, left, 0, fmt.Sprintf("records %d and %d swapped", i, i+1))
	}
}

// splitRecords returns the header and the records of a file.
func splitRecords(text []byte) (parts [][]byte) {
	parts = append(parts, text[:headerSize])
	for rest := text[headerSize:]; len(rest) > 0; {
		size := recordHeaderSize + int(rest[0]) + int(rest[1])<<8
		parts = append(parts, rest[:size])
		rest = rest[size:]
	}
	return parts
}

// Guards against replaying the log of a recovery snapshot after the log whose write failed. The failed write may have reached
// the disk, so that the logs seem to join, but the changes between them are only in the snapshot.
func TestStoreRecoveryLogDoesNotContinueFailedLog(t *testing.T) {
	fsys := newModelFS()
	h := newHarness(t, fsys, 5, 20)
	for i := range 3 * CompactionStepEntries {
		e := exampleEntry(100 + i)
		h.record(e.Host, version{entry: e})
		h.table.Put(e)
		h.store.Append([]Entry{e}, nil)
	}
	h.change()
	fsys.failAt, fsys.failFor, fsys.writesFully, fsys.failure = fsys.calls+1, 1, true, errors.New("no space left")
	h.change()
	if h.store.Failure() == nil {
		t.Fatal("Failure is nil after a failed log write")
	}
	for range 10 {
		h.change() // not persisted: the store has failed
	}
	fsys.onCall = func() { h.check(t, fsys.afterKill(), h.durable, fmt.Sprintf("call %d", fsys.calls)) }
	h.compact()
	if h.store.Failure() != nil {
		t.Error("Failure after the recovery snapshot:", h.store.Failure())
	}
	h.check(t, fsys.afterKill(), len(h.commits)-1, "after the recovery")
}

// Guards against reading an outdated snapshot: one that can be neither read nor removed makes Open fail without changes; once
// Salvage has skipped it, it must not count at a later start at which it can be read again.
func TestStoreIgnoresSalvagedSnapshotThatReappears(t *testing.T) {
	fsys := newModelFS()
	h := newHarness(t, fsys, 5, 20)
	for range 10 {
		h.change()
	}
	h.compact()
	durable, before := h.durable, fsys.afterKill()
	fsys.inaccessible = "folder/" + h.store.stored[0].name
	if _, _, _, _, err := OpenFS("folder", testBudget, fsys); !errors.Is(err, syscall.EIO) {
		t.Fatalf("Open with an unreadable snapshot returned %v, want EIO", err)
	}
	h.check(t, before, durable, "after an Open that failed")
	var err error
	if h.store, h.table, _, _, err = SalvageFS("folder", testBudget, fsys); err != nil {
		t.Fatal(err)
	}
	h.store.background = func(f func()) { f() }
	if h.table.Len() != 0 || h.store.sequence != 0 {
		t.Fatalf("Salvage found %d entries, sequence %d, want an empty table and sequence 0", h.table.Len(), h.store.sequence)
	}
	h.resetHistory()
	h.change()
	fsys.inaccessible = ""
	h.check(t, fsys.afterKill(), h.durable, "after the skipped snapshot became readable again")
}
