package zones

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// These tests guard the format of the file of orders on disk. The files in storedDir were written by the code of commit 569f7cf,
// or, in format 1, could be read by it, and must not be regenerated: files in state directories have to stay readable after an
// upgrade, and later code has to write the same text so that a rollback can read it. The capitalized keys of the clocks are part
// of the format.

const (
	// storedDir is the directory of the files of commit 569f7cf.
	storedDir = "testdata/569f7cf"
	// storedFormat2 is a file of format 2, written in the boot storedBoot at the moment storedAt.
	storedFormat2 = "format2.json"
	// storedFormat1 is a file of format 1, which holds wall times only.
	storedFormat1 = "format1.json"
	// storedMask is a file of format 2 in which words in capitals replace the values that differ from run to run (see masks).
	storedMask = "written.json"
	// storedBoot is the boot ID in storedFormat2.
	storedBoot = "569f7cf0-0000-4000-8000-000000000001"
	// storedAt is the moment of the clock readings in storedFormat2: 1000 s after the boot.
	storedAt = instant.Boot + instant.Time(1000*time.Second)
	// longestOrder is the maximum duration of an order.
	longestOrder = 24 * time.Hour
	// clockTolerance is an upper bound of the time between two readings of the clock in a test.
	clockTolerance = time.Minute
)

// openStored opens a state directory with a copy of the named file in storedDir, in which replacement takes the place of old.
func openStored(t *testing.T, name, old, replacement string) *OrderStore {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(storedDir, name))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), old) {
		t.Fatalf("stored file %s does not contain %s", name, old)
	}
	dir := t.TempDir()
	text = bytes.ReplaceAll(text, []byte(old), []byte(replacement))
	if err := os.WriteFile(filepath.Join(dir, "zones.json"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	store, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// A process must read the exact ends of orders that were stored in the same boot, by the clock readings in the file. The test
// replaces the stored boot ID with that of this machine.
func TestReadsStoredOrders(t *testing.T) {
	boot := clock.BootID()
	if boot == "" {
		t.Fatal("the boot ID of this machine is unknown")
	}
	got := openStored(t, storedFormat2, storedBoot, boot).Active(storedAt)
	want := []Order{{"a", storedAt.Add(time.Hour)}, {"zone \"b\"", storedAt.Add(90*time.Second + 7)}}
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("got orders %v from the stored file, want %v", got, want)
	}
}

// After a reboot, and in format 1, the end of an order is determined by the wall clock. An order that ended in the past must have
// expired, and one far in the future must end after the maximum duration.
func TestStoredOrdersEndByWallClock(t *testing.T) {
	for _, name := range []string{storedFormat2, storedFormat1} {
		store := openStored(t, name, "2026-01-02T04:04:05Z", "2200-01-02T04:04:05Z")
		now := clock.Now()
		got := store.Active(now)
		if len(got) != 1 || got[0].Zone != "a" {
			t.Errorf("%s: got orders %v, want only that for zone a", name, got)
			continue
		}
		if runs := got[0].Until.Sub(now); runs > longestOrder || runs < longestOrder-clockTolerance {
			t.Errorf("%s: the order ends after %v, want %v", name, runs, longestOrder)
		}
	}
}

// writtenFile decodes a file of orders independently of the types in the code under test.
type writtenFile struct {
	Clocks map[string]int64    `json:"clocks"`
	Orders []map[string]string `json:"orders"`
}

// masks replaces the values that differ from run to run in a written file.
var masks = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`"boot":"[0-9a-f-]{36}"`), `"boot":"BOOT"`},
	{regexp.MustCompile(`"At":\d+`), `"At":MONOTONIC`},
	{regexp.MustCompile(`"Wall":\d+`), `"Wall":WALL`},
	{regexp.MustCompile(`"until":"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)"`), `"until":"TIME"`},
}

// A written file must have the same text as one written by commit 569f7cf, except for the boot ID, the clock readings and the times
// of the orders, which must be consistent with each other.
func TestWritesStoredOrders(t *testing.T) {
	dir, now := t.TempDir(), clock.Now()
	store, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	ends := []instant.Time{now.Add(time.Hour), now.Add(90*time.Second + 7)}
	for i, zone := range []string{"a", "zone \"b\""} {
		if err := store.Put(zone, ends[i], now); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(filepath.Join(dir, "zones.json"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join(storedDir, storedMask))
	if err != nil {
		t.Fatal(err)
	}
	masked := text
	for _, mask := range masks {
		masked = mask.pattern.ReplaceAll(masked, []byte(mask.replacement))
	}
	if !bytes.Equal(masked, want) {
		t.Errorf("the written file differs from the stored one:\n%swant:\n%s", masked, want)
	}
	checkTimes(t, text, ends)
}

// checkTimes fails the test unless the clock readings in the file convert the end of each order into the expected moment.
func checkTimes(t *testing.T, text []byte, ends []instant.Time) {
	t.Helper()
	var written writtenFile
	if err := json.Unmarshal(text, &written); err != nil {
		t.Fatal(err)
	}
	for i, end := range ends {
		until, err := time.Parse(time.RFC3339Nano, written.Orders[i]["until"])
		if err != nil {
			t.Fatal(err)
		}
		if got := written.Clocks["At"] + until.UnixNano() - written.Clocks["Wall"]; got != int64(end) {
			t.Errorf("order %d ends at moment %d by the clock readings in the file, want %d", i, got, end)
		}
	}
}
