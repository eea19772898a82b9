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
	if err != nil || len(book.InForce(now)) > 0 {
		t.Fatal(err, book)
	}
	for _, o := range []Order{{"a", now.Add(time.Hour)}, {"b", now.Add(time.Minute)}, {"a", now.Add(2 * time.Hour)}, {"c", now.Add(time.Hour)}, {"c", 0}} {
		if err := book.Keep(o.Zone, o.Until, now); err != nil {
			t.Fatal(err)
		}
	}
	again, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if all := again.InForce(now); len(all) != 2 || all[0].Zone != "b" || all[1].Until != now.Add(2*time.Hour) {
		t.Errorf("after a restart: %v", all)
	}
	if all := again.InForce(now.Add(time.Minute)); len(all) != 1 || all[0].Zone != "a" {
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
		if err == nil || !strings.Contains(err.Error(), path) || len(book.InForce(1)) > 0 {
			t.Errorf("%q: %v", text, err)
		}
		if err := book.Keep("a", 99, 1); err != nil {
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
	if err := book.Keep("a", 99, 1); err == nil || len(book.InForce(1)) > 0 {
		t.Errorf("%v: %v", err, book.orders)
	}
}

func TestParseLine(t *testing.T) {
	for text, want := range map[string]Line{"status": {Verb: Status}, " restore  b ": {Verb: Restore, Zone: "b"},
		"evacuate b 1m30s": {Verb: Evacuate, Zone: "b", For: 90 * time.Second}} {
		if got, err := ParseLine(text); err != nil || got != want {
			t.Errorf("%q: %+v, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "leave b", "status b", "restore", "evacuate b", "evacuate b 10", "evacuate b -1s", "evacuate b 0s", "evacuate b 25h", "evacuate b 1m x"} {
		if got, err := ParseLine(text); err == nil {
			t.Errorf("%q: %+v", text, got)
		}
	}
}
