package journal

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"milletsail/internal/instant"
)

// checkBytes fails the test if got differs from want, and reports the offset of the first difference.
func checkBytes(t *testing.T, name string, got, want []byte) {
	t.Helper()
	if bytes.Equal(got, want) {
		return
	}
	place := 0
	for place < min(len(got), len(want)) && got[place] == want[place] {
		place++
	}
	t.Errorf("%s: got %d bytes, want %d; the first difference is at offset %d:\ngot  %x\nwant %x", name, len(got), len(want), place,
		got[place:min(len(got), place+32)], want[place:min(len(want), place+32)])
}

// describeJournal returns a textual description of a report and of all content of a journal. Times are relative to base. The
// description depends on no identifier of the package, so that renaming does not change it.
func describeJournal(journal *Journal, report *Report, base instant.Time) string {
	var out strings.Builder
	fmt.Fprintf(&out, "format %d, relay %s, power %t, records %d, last %d, torn %d,", report.Format, report.Relay,
		report.SurvivesPowerLoss, report.Records, report.LastSequence, report.Torn)
	fmt.Fprintf(&out, " complete %t, rebooted %t, used wall clock %t\n", report.Complete(), report.Rebooted, report.UsedWallClock)
	for _, name := range report.SkippedSegments {
		fmt.Fprintf(&out, "skipped %s\n", name)
	}
	for _, entry := range journal.Entries() {
		describeEntry(&out, entry, base)
	}
	if list := journal.LegacyList(); list.Text != nil {
		fmt.Fprintf(&out, "legacy list of %d endpoints: %s\n", list.Endpoints, list.Text)
	}
	health := journal.Health()
	for _, host := range slices.Sorted(maps.Keys(health)) {
		fmt.Fprintf(&out, "health of %s: ejected %t, changed at %s\n",
			host, health[host].Ejected, formatOffset(base, health[host].ChangedAt))
	}
	return out.String()
}

// describeEntry writes the description of one entry, with times relative to base.
func describeEntry(out *strings.Builder, entry *Entry, base instant.Time) {
	accepted, expires := formatOffset(base, entry.AcceptedAt), formatOffset(base, entry.ExpiresAt)
	fmt.Fprintf(out, "message %s: class %s, destination %d, key %s, accepted %s, expires %s, body %q\n",
		entry.ID, entry.Class, entry.Dest, entry.Key, accepted, expires, entry.Body)
	for _, attempt := range entry.Attempts {
		fmt.Fprintf(out, "  attempt at %s, started %s", attempt.Host, formatOffset(base, attempt.StartedAt))
		for _, mark := range []struct {
			set  bool
			name string
		}{{attempt.Ended, "ended"}, {attempt.NotExecuted, "not executed"}, {attempt.Uncertain, "uncertain attempt"}} {
			if mark.set {
				fmt.Fprintf(out, ", %s", mark.name)
			}
		}
		fmt.Fprintln(out)
	}
	if notification := entry.PendingNotification; notification != nil {
		fmt.Fprintf(out, "  pending notification %s: %s, retry after %d ms\n",
			notification.ID, notification.Status, notification.RetryAfterMS)
	}
}

// formatOffset returns a time as a signed duration from base, or "never" for the zero Time.
func formatOffset(base, at instant.Time) string {
	if at.IsZero() {
		return "never"
	}
	return formatSigned(at.Sub(base))
}

// formatSigned returns a duration with its sign, also if it is positive.
func formatSigned(span time.Duration) string {
	if span < 0 {
		return span.String()
	}
	return "+" + span.String()
}

// checkText fails the test if got differs from want, and reports both.
func checkText(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}

// fileNames returns the names of the files in a directory.
func fileNames(t *testing.T, dir string) (names []string) {
	t.Helper()
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		names = append(names, file.Name())
	}
	return names
}

// copyDir copies the files of a directory into another.
func copyDir(t *testing.T, from, to string) {
	t.Helper()
	for _, name := range fileNames(t, from) {
		putFile(t, filepath.Join(to, name), fileBytes(t, filepath.Join(from, name)))
	}
}

func fileBytes(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func putFile(t *testing.T, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}
