package endpoints

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"testing"
)

// failingDisk is a way in which calls of the file system fail.
type failingDisk struct {
	failure     error
	writesFully bool
	failFor     int // calls
}

// Any call of the file system may fail, and the process may be killed at any call then: nothing wrong is read, and once
// calls succeed again all is kept again.
func TestStoreFailingDisk(t *testing.T) {
	full := errors.New("no space left")
	for _, disk := range []failingDisk{{nil, false, 1}, {full, false, 1}, {full, true, 1}, {nil, false, 3}, {full, false, 3},
		{full, true, 3}, {nil, false, 1000}, {full, false, 1000}, {full, true, 1000}} {
		for failAt := 1; runFailure(t, disk, failAt); failAt++ {
		}
	}
}

// runFailure runs changes and compactions whose calls fail from one on, and reports whether it got there.
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
		t.Fatalf("%s: not kept again: %v", when, h.store.Failure())
	}
	h.check(t, fsys.afterKill(), h.durable, when+", after it")
	return failed
}

// deferredWork is what a store has handed to its background and nobody has run yet.
type deferredWork []func()

func (b *deferredWork) run() {
	for _, f := range *b {
		f()
	}
	*b = nil
}

// A write of the log may fail while a complete snapshot waits for the disk. That snapshot then makes up for nothing that
// was lost after it, whether or not it was itself a repair.
func TestStoreLogWriteFailsDuringSnapshotSync(t *testing.T) {
	for _, repair := range []bool{false, true} {
		fsys := newModelFS()
		h := newHarness(t, fsys, 5, 20)
		held := &deferredWork{}
		h.change()
		if repair {
			fsys.failAt, fsys.failFor = fsys.calls+1, 1
			h.change()
			if h.store.Failure() == nil {
				t.Fatal("the write did not fail")
			}
		}
		h.store.background = func(f func()) { *held = append(*held, f) }
		h.compact()
		fsys.failAt, fsys.failFor = fsys.calls+1, 1
		h.change()
		held.run()
		fsys.failAt = 0
		h.store.CompactStep(h.table)
		fsys.onCall = func() { h.check(t, fsys.afterKill(), h.durable, fmt.Sprintf("repair %v, call %d", repair, fsys.calls)) }
		h.change()
		if h.store.Failure() == nil {
			t.Errorf("repair %v: the failure is forgotten", repair)
		}
		h.store.background = func(f func()) { f() }
		h.compact()
		h.change()
		if h.store.Failure() != nil || h.durable != len(h.commits)-1 {
			t.Errorf("repair %v: not kept again: %v", repair, h.store.Failure())
		}
		h.check(t, fsys.afterKill(), h.durable, fmt.Sprintf("repair %v", repair))
	}
}

// While a snapshot waits for the disk the store goes on, and Close waits for it.
func TestStoreCloseWaitsForSnapshot(t *testing.T) {
	fsys := newModelFS()
	h := newHarness(t, fsys, 5, 20)
	h.change()
	held := &deferredWork{}
	h.store.background = func(f func()) { *held = append(*held, f) }
	h.compact()
	h.change()
	h.check(t, fsys.afterKill(), len(h.commits)-1, "before the snapshot is in its place")
	held.run()
	if err := h.store.Close(); err != nil {
		t.Fatal(err)
	}
	if h.store.stored[0].kind != kindSnapshot {
		t.Errorf("files %+v", h.store.stored)
	}
	h.check(t, fsys.afterKill(), len(h.commits)-1, "closed")
}

// A record that is missing, or two that have changed places, are noticed though each record is whole.
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
			t.Errorf("record %d is not missed", i)
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

// The log that goes with a repairing snapshot continues nothing: what came between is lost until the snapshot is whole,
// though the write that failed may have reached the disk.
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
		t.Fatal("the write did not fail")
	}
	for range 10 {
		h.change() // not kept
	}
	fsys.onCall = func() { h.check(t, fsys.afterKill(), h.durable, fmt.Sprintf("call %d", fsys.calls)) }
	h.compact()
	if h.store.Failure() != nil {
		t.Error(h.store.Failure())
	}
	h.check(t, fsys.afterKill(), len(h.commits)-1, "repaired")
}

// A snapshot that can be neither read nor removed at one start is an error, and nothing is changed; where it is left out all
// the same, and can be read at the next start, it counts for nothing then.
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
		t.Fatalf("it can't be read, and the error is %v", err)
	}
	h.check(t, before, durable, "an open that failed")
	var err error
	if h.store, h.table, _, _, err = SalvageFS("folder", testBudget, fsys); err != nil {
		t.Fatal(err)
	}
	h.store.background = func(f func()) { f() }
	if h.table.Len() != 0 || h.store.sequence != 0 {
		t.Fatalf("%d entries, sequence %d", h.table.Len(), h.store.sequence)
	}
	h.resetHistory()
	h.change()
	fsys.inaccessible = ""
	h.check(t, fsys.afterKill(), h.durable, "back again")
}
