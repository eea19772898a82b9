package rollout

import (
	"errors"
	"os"
	"testing"
	"time"
)

// Guards against a rollout that can't be resumed after a crash, or that is resumed from damaged records: an incomplete last record
// is ignored, and damage anywhere else is a *CorruptRecordError.
func TestDamagedRecords(t *testing.T) {
	dir := t.TempDir()
	store, err := OpenStore(dir, time.Now(), false)
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range []string{recordStarted, recordUpdating, recordUpdated} {
		if err := store.Append(Record{Kind: kind, Relay: 3}); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	path := store.path(1)
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for size := range complete {
		if err := os.WriteFile(path, complete[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		records, err := ReadStore(dir)
		if err != nil || len(records) > 2 && size < len(complete)-1 { // without its newline the last line is still complete
			t.Fatalf("record file cut to %d bytes: got %d records, error %v; want the complete records", size, len(records), err)
		}
	}
	for _, position := range []int{3, 12, len(complete) / 2} {
		damaged := append([]byte(nil), complete...)
		damaged[position] ^= 4
		if err := os.WriteFile(path, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		var corrupt *CorruptRecordError
		if _, err := OpenStore(dir, time.Now(), false); !errors.As(err, &corrupt) || corrupt.Path != path {
			t.Errorf("record file damaged at byte %d: got error %v, want a *CorruptRecordError", position, err)
		}
	}
}
