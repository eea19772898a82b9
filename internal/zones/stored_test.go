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

// These tests pin the file of orders on disk. The files of storedDir are what the code of commit 569f7cf wrote, or
// in format 1 what it read, and are never written anew: what is left in state directories has to stay readable
// (upgrade), and later code has to write the same text (rollback). That the keys of the clocks begin with capitals
// is part of it.

const (
	// storedDir holds the files of commit 569f7cf.
	storedDir = "testdata/569f7cf"
	// storedFormat2 is a file of format 2, of storedBoot and with storedClocks.
	storedFormat2 = "format2.json"
	// storedFormat1 is a file of format 1, with wall clock times only.
	storedFormat1 = "format1.json"
	// storedMask is a file of format 2 with what differs from run to run masked by words in capitals.
	storedMask = "written.json"
	// storedBoot is the identity of the boot that is in storedFormat2.
	storedBoot = "569f7cf0-0000-4000-8000-000000000001"
	// storedAt is the moment of both clocks in storedFormat2: 1000 s after the boot.
	storedAt = instant.Boot + instant.Time(1000*time.Second)
	// longestOrder is the longest duration of an order.
	longestOrder = 24 * time.Hour
	// readingTime is more than a test takes between two readings of the clock.
	readingTime = time.Minute
)

// openStored opens a directory with a stored file, in which some text is replaced.
func openStored(t *testing.T, name, old, replacement string) *OrderStore {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(storedDir, name))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), old) {
		t.Fatalf("%s holds no %s", name, old)
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

// A process of the same boot reads the exact ends of the orders, by the clocks in the file: this machine's boot ID replaces
// the stored one.
func TestReadsStoredOrders(t *testing.T) {
	boot := clock.BootID()
	if boot == "" {
		t.Fatal("the system gives no ID of its boot")
	}
	got := openStored(t, storedFormat2, storedBoot, boot).Active(storedAt)
	want := []Order{{"a", storedAt.Add(time.Hour)}, {"zone \"b\"", storedAt.Add(90*time.Second + 7)}}
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("orders %v, want %v", got, want)
	}
}

// After a reboot, and in format 1, the wall clock gives the end of an order: one in the past has expired, and one far in
// the future ends after the longest duration.
func TestReadsStoredOrdersByTheWallClock(t *testing.T) {
	for _, name := range []string{storedFormat2, storedFormat1} {
		store := openStored(t, name, "2026-01-02T04:04:05Z", "2200-01-02T04:04:05Z")
		now := clock.Now()
		got := store.Active(now)
		if len(got) != 1 || got[0].Zone != "a" {
			t.Errorf("%s: orders %v, want that for zone a alone", name, got)
			continue
		}
		if runs := got[0].Until.Sub(now); runs > longestOrder || runs < longestOrder-readingTime {
			t.Errorf("%s: the order runs %v, want %v", name, runs, longestOrder)
		}
	}
}

// writtenFile is a file of orders by the keys that are in it, whatever the code calls them.
type writtenFile struct {
	Clocks map[string]int64    `json:"clocks"`
	Orders []map[string]string `json:"orders"`
}

// masks are what differs from run to run in a file that is written.
var masks = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`"boot":"[0-9a-f-]{36}"`), `"boot":"BOOT"`},
	{regexp.MustCompile(`"At":\d+`), `"At":MONOTONIC`},
	{regexp.MustCompile(`"Wall":\d+`), `"Wall":WALL`},
	{regexp.MustCompile(`"until":"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)"`), `"until":"TIME"`},
}

// What is written has the text of commit 569f7cf, except for the boot, the clocks and the times, which are consistent with
// each other.
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
		t.Errorf("written:\n%swant:\n%s", masked, want)
	}
	checkTimes(t, text, ends)
}

// checkTimes fails unless each order has its end, by the clocks in the file.
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
			t.Errorf("order %d ends at %d by the clocks in the file, want %d", i, got, end)
		}
	}
}
