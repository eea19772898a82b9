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

// A directory whose log is damaged is told so, is left as it is by a repair, and what comes of that is whole.
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
		t.Errorf("%v: %+v", err, s)
	}
	to := filepath.Join(t.TempDir(), "new")
	if _, err := Repair(dir, to); err != nil {
		t.Fatal(err)
	}
	if after, _ := os.ReadFile(path); !bytes.Equal(raw, after) {
		t.Error("the folder itself has changed")
	}
	if s, err := Summarize(to, at); err != nil || !s.Complete || s.Live != 1 || s.PendingNotifications != 1 {
		t.Errorf("%v: %+v", err, s)
	}
	if _, err := Repair(dir, to); !errors.As(err, new(*NotEmptyError)) {
		t.Errorf("a folder that is not empty is written over: %v", err)
	}
	var out strings.Builder
	if err := Dump(to, &out, true); err != nil || strings.Count(out.String(), "\n") != 1 ||
		!strings.Contains(out.String(), `"owed":{"id":"owing"`) {
		t.Errorf("%v: %s", err, out.String())
	}
}

// A directory goes to format 1 and back with nothing lost, and nothing of the other form stays.
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
			t.Errorf("format %d: %v", format, found)
		}
		got, r, err := Read(dir)
		if err != nil || int(r.Format) != format || !r.Complete() {
			t.Fatalf("format %d: %v, %+v", format, err, r)
		}
		if now, err := got.encodeV1(); err != nil || !sameV1(now, want) {
			t.Errorf("format %d: %v\n%q\n%q", format, err, now, want)
		}
	}
	if _, err := Convert(dir, 3); !errors.As(err, new(*UnknownFormatError)) {
		t.Errorf("there is no format 3: %v", err)
	}
}

// The keys of a dump are read by scripts, so they stay as they were before the fields were renamed.
func TestDumpKeepsItsKeys(t *testing.T) {
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
			t.Errorf("%s is missing in:\n%s", want, out.String())
		}
	}
}
