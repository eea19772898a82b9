package zones

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"milletsail/internal/clock"
)

// Orders must survive a restart until they expire. A second order for a zone replaces the first.
func TestOrderStore(t *testing.T) {
	dir, now := t.TempDir(), clock.Now()
	store, err := Open(dir)
	if err != nil || len(store.Active(now)) > 0 {
		t.Fatal(err, store)
	}
	orders := []Order{
		{"a", now.Add(time.Hour)},
		{"b", now.Add(time.Minute)},
		{"a", now.Add(2 * time.Hour)},
		{"c", now.Add(time.Hour)},
		{"c", 0}, // removes the order for zone c
	}
	for _, o := range orders {
		if err := store.Put(o.Zone, o.Until, now); err != nil {
			t.Fatal(err)
		}
	}
	reopened, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if all := reopened.Active(now); len(all) != 2 || all[0].Zone != "b" || all[1].Until != now.Add(2*time.Hour) {
		t.Errorf("after a restart: got orders %v, want those for zones b and a", all)
	}
	if all := reopened.Active(now.Add(time.Minute)); len(all) != 1 || all[0].Zone != "a" {
		t.Errorf("a minute later: got orders %v, want only that for zone a", all)
	}
}

// Active must return a copy. A relay removes the orders that it has applied from the returned list; in a shared list, that would
// corrupt the stored orders, and the next Put would write them to disk.
func TestActiveReturnsCopy(t *testing.T) {
	now := clock.Now()
	store, err := Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, zone := range []string{"a", "b"} {
		if err := store.Put(zone, now.Add(time.Hour), now); err != nil {
			t.Fatal(err)
		}
	}
	pending := store.Active(now)
	pending = slices.DeleteFunc(pending, func(o Order) bool { return o.Zone == "a" })
	if err := store.Put("c", now.Add(time.Hour), now); err != nil {
		t.Fatal(err)
	}
	if all := store.Active(now); len(all) != 3 || len(pending) != 1 {
		t.Errorf("got active orders %v, want those for zones a, b and c", all)
	}
}

// A corrupt file must give no orders and a CorruptError that names the file. Storing an order must then replace the file.
func TestCorruptFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	for _, text := range []string{
		"",
		"{",
		`{"format":3}`,
		`{"format":1,"orders":[{"zone":"a"}]}`,
		`{"format":1,"orders":[],"more":1}`,
		`{"format":1,"orders":[{"zone":"","until":"2026-01-01T00:00:00Z"}]}`,
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		store, err := Open(dir)
		var corrupt *CorruptError
		if !errors.As(err, &corrupt) || !strings.Contains(err.Error(), path) || len(store.Active(1)) > 0 {
			t.Errorf("file %q: got error %v, want a CorruptError with the path, and no orders", text, err)
		}
		if err := store.Put("a", 99, 1); err != nil {
			t.Errorf("file %q: storing an order failed: %v", text, err)
		}
	}
}

// An order that could not be written to disk must not be in force, since a restart would lose it.
func TestUnwritableDirectory(t *testing.T) {
	store, err := Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	store.path = filepath.Join(store.path, "no", "folder")
	if err := store.Put("a", 99, 1); err == nil || len(store.Active(1)) > 0 {
		t.Errorf("got error %v and orders %v, want an error and no orders", err, store.orders)
	}
}

// Commands with valid arguments must be parsed. An unknown action, a wrong number of words or a duration out of range is an error.
func TestParseCommand(t *testing.T) {
	for text, want := range map[string]Command{
		"status":           {Action: Status},
		" restore  b ":     {Action: Restore, Zone: "b"},
		"evacuate b 1m30s": {Action: Evacuate, Zone: "b", Duration: 90 * time.Second},
	} {
		if got, err := ParseCommand(text); err != nil || got != want {
			t.Errorf("command %q: got %+v, error %v", text, got, err)
		}
	}
	for _, text := range []string{"", "leave b", "status b", "restore", "evacuate b", "evacuate b 10", "evacuate b -1s",
		"evacuate b 0s", "evacuate b 25h", "evacuate b 1m x"} {
		if got, err := ParseCommand(text); err == nil {
			t.Errorf("command %q: got %+v, want an error", text, got)
		}
	}
}

// A process that is killed while it writes leaves a truncated new file beside the old file. Open must still read the old file.
func TestTornWrite(t *testing.T) {
	dir, now := t.TempDir(), clock.Now()
	store, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Put("a", now.Add(time.Hour), now); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(text) {
		if err := os.WriteFile(filepath.Join(dir, fileName+".new"), text[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		reopened, err := Open(dir)
		if err != nil || len(reopened.Active(now)) != 1 {
			t.Fatalf("after %d of %d bytes were written: got error %v and orders %v", n, len(text), err, reopened.Active(now))
		}
	}
}

// An order must keep its end even if the wall clock is set before the next process reads the file. After a reboot, or in the
// format with wall times only, the wall clock determines the end, which is at most maxDuration from now.
func TestOrderAfterRestart(t *testing.T) {
	now := clock.ReadPair()
	orders := func(until clock.Wall) []fileOrder { return []fileOrder{{"a", until.Time()}} }
	end := now.At.Add(time.Minute)
	// The file was written while the wall clock was an hour ahead.
	stepped := clock.Pair{At: now.At, Wall: now.Wall + clock.Wall(time.Hour)}
	for _, c := range []struct {
		name string
		file file
		want time.Duration
	}{
		{"same boot", file{Format: format, Boot: clock.BootID(), Clocks: stepped, Orders: orders(stepped.WallOf(end))},
			time.Minute},
		{"after a reboot", file{Format: format, Boot: "another", Clocks: stepped, Orders: orders(now.WallOf(end))}, time.Minute},
		{"wall clock times only", file{Format: formatWall, Orders: orders(now.WallOf(end))}, time.Minute},
		{"a wall clock that was far ahead", file{Format: formatWall, Orders: orders(now.WallOf(now.At.Add(99 * time.Hour)))},
			maxDuration},
	} {
		if got := c.file.until(c.file.Orders[0]).Sub(now.At); got < c.want-time.Second || got > c.want+time.Second {
			t.Errorf("%s: the order ends after %v, want %v", c.name, got, c.want)
		}
	}
}
