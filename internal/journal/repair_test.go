package journal

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"milletsail/internal/clock"
)

// TestRepair guards against damage that Summarize does not report, and against a Repair that changes the damaged directory,
// overwrites files or writes an incomplete journal.
func TestRepair(t *testing.T) {
	dir, at := t.TempDir(), clock.Now().Add(-time.Second)
	recordSampleEntries(t, openJournal(t, dir, 3), at)
	path := onlySegment(t, dir)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	i := bytes.Index(raw, []byte("body\x00tried"))
	raw[i] ^= 1
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Summarize(dir, at)
	if err != nil || s.Complete || s.Live != 1 || s.PendingNotifications != 1 ||
		len(s.Damage) != 1 || s.Damage[0].LastRecord != "taken" {
		t.Errorf("summary of the damaged directory: error %v, got %+v", err, s)
	}
	to := filepath.Join(t.TempDir(), "new")
	if _, err := Repair(dir, to); err != nil {
		t.Fatal(err)
	}
	if after, _ := os.ReadFile(path); !bytes.Equal(raw, after) {
		t.Error("Repair changed the damaged segment")
	}
	if s, err := Summarize(to, at); err != nil || !s.Complete || s.Live != 1 || s.PendingNotifications != 1 {
		t.Errorf("summary of the repaired directory: error %v, got %+v", err, s)
	}
	if _, err := Repair(dir, to); !errors.As(err, new(*NotEmptyError)) {
		t.Errorf("Repair into a directory that is not empty returned %v, want a *NotEmptyError", err)
	}
	var out strings.Builder
	if err := Dump(to, &out, true); err != nil || strings.Count(out.String(), "\n") != 1 ||
		!strings.Contains(out.String(), `"owed":{"id":"owing"`) {
		t.Errorf("dump of the repaired directory: error %v, got %s", err, out.String())
	}
}

// TestConvert guards against a conversion between the formats that loses data or leaves files of the other format behind.
func TestConvert(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3)
	recordSampleEntries(t, j, clock.Now().Add(-time.Second))
	want, err := j.encodeV1()
	if err != nil {
		t.Fatal(err)
	}
	_ = j.Close()
	for _, format := range []int{1, Format, 1, Format} {
		if _, err := Convert(dir, format); err != nil {
			t.Fatal(err)
		}
		found, _ := filepath.Glob(filepath.Join(dir, "*"))
		if len(found) != 1 || (filepath.Base(found[0]) == formatV1File) != (format == 1) {
			t.Errorf("converted to format %d: files %v, want one file of that format", format, found)
		}
		got, r, err := Read(dir)
		if err != nil || int(r.Format) != format || !r.Complete() {
			t.Fatalf("converted to format %d: read error %v, report %+v", format, err, r)
		}
		if now, err := got.encodeV1(); err != nil || !sameV1(now, want) {
			t.Errorf("converted to format %d: error %v\ngot  %q\nwant %q", format, err, now, want)
		}
	}
	if _, err := Convert(dir, 3); !errors.As(err, new(*UnknownFormatError)) {
		t.Errorf("conversion to format 3 returned %v, want an *UnknownFormatError", err)
	}
}

// TestDumpKeys guards against renamed JSON keys in a dump, which scripts read.
func TestDumpKeys(t *testing.T) {
	dir := t.TempDir()
	recordSampleEntries(t, openJournal(t, dir, 3), clock.Now().Add(-time.Second))
	var out strings.Builder
	if err := Dump(dir, &out, true); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`"expires":"`, `"taken":"`, `"attempts":[{"Host":"h1","Begun":"`,
		`,"Ended":true,"Unrun":true,"Doubt":false}`, `"owed":{"id":"owing","status":"deferred","again_ms":30}`,
		`"body_bytes":10,"body":"`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the dump does not contain %s:\n%s", want, out.String())
		}
	}
}
