package endpoints

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"
)

// failingDisk is a way in which calls of the file system fail.
type failingDisk struct {
	failure error
	late    bool
	failFor int // calls
}

// Any call of the file system may fail, and the process may be killed at any call then: nothing wrong is read, and once
// calls succeed again all is kept again.
func TestStoreFailingDisk(t *testing.T) {
	full := errors.New("no space left")
	for _, disk := range []failingDisk{{nil, false, 1}, {full, false, 1}, {full, true, 1}, {nil, false, 3}, {full, false, 3},
		{full, true, 3}, {nil, false, 1000}, {full, false, 1000}, {full, true, 1000}} {
		for failAt := 1; playFailure(t, disk, failAt); failAt++ {
		}
	}
}

// playFailure plays a life whose calls fail from one on, and tells whether it got there.
func playFailure(t *testing.T, disk failingDisk, failAt int) bool {
	t.Helper()
	fsys := newModelFS()
	l := newLife(t, fsys, 5, 20)
	fsys.failAt, fsys.failFor, fsys.failure, fsys.late = failAt, disk.failFor, disk.failure, disk.late
	when := fmt.Sprintf("%+v, from call %d on", disk, failAt)
	fsys.onCall = func() { l.check(t, fsys.killed(), l.durable, fmt.Sprintf("%s, at call %d", when, fsys.calls)) }
	for range 3 {
		for range 3 {
			l.change()
		}
		l.compact()
	}
	l.change()
	failed := fsys.calls >= failAt
	fsys.failAt = 0
	l.compact()
	l.change()
	if l.store.Failure() != nil || l.durable != len(l.commits)-1 {
		t.Fatalf("%s: not kept again: %v", when, l.store.Failure())
	}
	l.check(t, fsys.killed(), l.durable, when+", after it")
	return failed
}

// heldBack is what a store has handed to its background and nobody has run yet.
type heldBack []func()

func (h *heldBack) run() {
	for _, f := range *h {
		f()
	}
	*h = nil
}

// A write of the log may fail while a complete snapshot waits for the disk. That snapshot then makes up for nothing that
// was lost after it, whether or not it was itself a repair.
func TestStoreFailsWhileSnapshotIsSynced(t *testing.T) {
	for _, repair := range []bool{false, true} {
		fsys := newModelFS()
		l := newLife(t, fsys, 5, 20)
		held := &heldBack{}
		l.change()
		if repair {
			fsys.failAt, fsys.failFor = fsys.calls+1, 1
			l.change()
			if l.store.Failure() == nil {
				t.Fatal("the write did not fail")
			}
		}
		l.store.background = func(f func()) { *held = append(*held, f) }
		l.compact()
		fsys.failAt, fsys.failFor = fsys.calls+1, 1
		l.change()
		held.run()
		fsys.failAt = 0
		l.store.Step(l.table)
		fsys.onCall = func() { l.check(t, fsys.killed(), l.durable, fmt.Sprintf("repair %v, call %d", repair, fsys.calls)) }
		l.change()
		if l.store.Failure() == nil {
			t.Errorf("repair %v: the failure is forgotten", repair)
		}
		l.store.background = func(f func()) { f() }
		l.compact()
		l.change()
		if l.store.Failure() != nil || l.durable != len(l.commits)-1 {
			t.Errorf("repair %v: not kept again: %v", repair, l.store.Failure())
		}
		l.check(t, fsys.killed(), l.durable, fmt.Sprintf("repair %v", repair))
	}
}

// While a snapshot waits for the disk the store goes on, and Close waits for it.
func TestStoreCloseWaitsForSnapshot(t *testing.T) {
	fsys := newModelFS()
	l := newLife(t, fsys, 5, 20)
	l.change()
	held := &heldBack{}
	l.store.background = func(f func()) { *held = append(*held, f) }
	l.compact()
	l.change()
	l.check(t, fsys.killed(), len(l.commits)-1, "before the snapshot is in its place")
	held.run()
	if err := l.store.Close(); err != nil {
		t.Fatal(err)
	}
	if l.store.files[0].kind != kindSnapshot {
		t.Errorf("files %+v", l.store.files)
	}
	l.check(t, fsys.killed(), len(l.commits)-1, "closed")
}

// A record that is missing, or two that have changed places, are noticed though each record is whole.
func TestStoreMissingRecord(t *testing.T) {
	fsys := newModelFS()
	l := newLife(t, fsys, 7, 6)
	for range 10 {
		l.change()
	}
	path := currentLog(l.store)
	records := splitRecords(fsys.files[path].data)
	for i := 1; i+1 < len(records); i++ {
		left := fsys.killed()
		left.files[path].data = slices.Concat(slices.Concat(records[:i]...), slices.Concat(records[i+1:]...))
		l.check(t, left, 0, fmt.Sprintf("without record %d", i))
		if _, _, _, found := open(t, left, testBudget); len(found.Damage) == 0 {
			t.Errorf("record %d is not missed", i)
		}
		if bytes.Equal(records[i], records[i+1]) {
			continue
		}
		swapped := slices.Clone(records)
		swapped[i], swapped[i+1] = swapped[i+1], swapped[i]
		left = fsys.killed()
		left.files[path].data = slices.Concat(swapped...)
		l.check(t, left, 0, fmt.Sprintf("records %d and %d swapped", i, i+1))
	}
}

// splitRecords gives the header and the records of a file.
func splitRecords(text []byte) (parts [][]byte) {
	parts = append(parts, text[:headerSize])
	for rest := text[headerSize:]; len(rest) > 0; {
		size := headSize + int(rest[0]) + int(rest[1])<<8
		parts = append(parts, rest[:size])
		rest = rest[size:]
	}
	return parts
}
