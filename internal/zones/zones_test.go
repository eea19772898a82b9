package zones

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"milletsail/internal/clock"
)

// Orders outlast a restart until their end; a second for a zone takes the place of the first.
func TestBook(t *testing.T) {
	dir, now := t.TempDir(), clock.Now()
	book, err := Open(dir)
	if err != nil || len(book.Active(now)) > 0 {
		t.Fatal(err, book)
	}
	for _, o := range []Order{{"a", now.Add(time.Hour)}, {"b", now.Add(time.Minute)}, {"a", now.Add(2 * time.Hour)}, {"c", now.Add(time.Hour)}, {"c", 0}} {
		if err := book.Put(o.Zone, o.Until, now); err != nil {
			t.Fatal(err)
		}
	}
	again, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if all := again.Active(now); len(all) != 2 || all[0].Zone != "b" || all[1].Until != now.Add(2*time.Hour) {
		t.Errorf("after a restart: %v", all)
	}
	if all := again.Active(now.Add(time.Minute)); len(all) != 1 || all[0].Zone != "a" {
		t.Errorf("after a minute: %v", all)
	}
}

// A spoilt file gives an error that names it, and no orders; and the book can be written again.
func TestSpoiltBook(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	for _, text := range []string{"", "{", `{"format":3}`, `{"format":1,"orders":[{"zone":"a"}]}`, `{"format":1,"orders":[],"more":1}`, `{"format":1,"orders":[{"zone":"","until":"2026-01-01T00:00:00Z"}]}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		book, err := Open(dir)
		if err == nil || !strings.Contains(err.Error(), path) || len(book.Active(1)) > 0 {
			t.Errorf("%q: %v", text, err)
		}
		if err := book.Put("a", 99, 1); err != nil {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// An order that can't be written is not in force.
func TestFolderThatCannotBeWritten(t *testing.T) {
	book, err := Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	book.path = filepath.Join(book.path, "no", "folder")
	if err := book.Put("a", 99, 1); err == nil || len(book.Active(1)) > 0 {
		t.Errorf("%v: %v", err, book.orders)
	}
}

func TestParseLine(t *testing.T) {
	for text, want := range map[string]Command{"status": {Action: Status}, " restore  b ": {Action: Restore, Zone: "b"},
		"evacuate b 1m30s": {Action: Evacuate, Zone: "b", Duration: 90 * time.Second}} {
		if got, err := ParseCommand(text); err != nil || got != want {
			t.Errorf("%q: %+v, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "leave b", "status b", "restore", "evacuate b", "evacuate b 10", "evacuate b -1s", "evacuate b 0s", "evacuate b 25h", "evacuate b 1m x"} {
		if got, err := ParseCommand(text); err == nil {
			t.Errorf("%q: %+v", text, got)
		}
	}
}

// A kill in the middle of a write leaves a prefix of the new file beside the old one, which stands.
func TestEachPrefixOfAnOrder(t *testing.T) {
	dir, now := t.TempDir(), clock.Now()
	book, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := book.Put("a", now.Add(time.Hour), now); err != nil {
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
		again, err := Open(dir)
		if err != nil || len(again.Active(now)) != 1 {
			t.Fatalf("%d of %d bytes: %v, %v", n, len(text), err, again.Active(now))
		}
	}
}

// An order runs as long as was said, also where the wall clock is stepped before the next process reads it; one of a boot
// before, or of a version that knew wall times alone, runs by the wall clock and no longer than an order may.
func TestOrderOverProcesses(t *testing.T) {
	now := clock.ReadPair()
	end := now.At.Add(time.Minute)
	stepped := clock.Pair{At: now.At, Wall: now.Wall + clock.Wall(time.Hour)} // the wall clock was an hour ahead then
	for _, c := range []struct {
		name string
		file file
		want time.Duration
	}{
		{"the same boot", file{Format: format, Boot: clock.BootID(), Clocks: stepped, Orders: []fileOrder{{"a", stepped.WallOf(end).Time()}}}, time.Minute},
		{"another boot", file{Format: format, Boot: "another", Clocks: stepped, Orders: []fileOrder{{"a", now.WallOf(end).Time()}}}, time.Minute},
		{"wall times alone", file{Format: formatWall, Orders: []fileOrder{{"a", now.WallOf(end).Time()}}}, time.Minute},
		{"a clock that was far ahead", file{Format: formatWall, Orders: []fileOrder{{"a", now.WallOf(now.At.Add(99 * time.Hour)).Time()}}}, most},
	} {
		if got := c.file.until(c.file.Orders[0]).Sub(now.At); got < c.want-time.Second || got > c.want+time.Second {
			t.Errorf("%s: it runs %v, want %v", c.name, got, c.want)
		}
	}
}
