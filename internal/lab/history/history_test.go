package history

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

type closer struct{ bytes.Buffer }

func (*closer) Close() error { return nil }

func sampleHistory(t *testing.T) string {
	t.Helper()
	var out closer
	w := NewWriter(&out, time.Now())
	w.Add(Event{Time: 1, Kind: Run, Parameters: &Parameters{Relays: 1}}, Event{Time: 30, Kind: Call, Call: 1, IDs: []string{"a"}}, Event{Time: 20, Kind: HandIn, ID: "a"},
		Event{Time: 40, Kind: End})
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// What is written is read again, in the order of time and with the lines of the file.
func TestRead(t *testing.T) {
	all, cut, err := Read(strings.NewReader(sampleHistory(t)))
	if err != nil || cut || len(all) != 4 || all[1].Kind != HandIn || all[1].Line != 3 || all[2].Line != 2 {
		t.Errorf("%v, cut %v, %+v", err, cut, all)
	}
}

// A file that was cut off at any byte after its first line still gives its whole lines, and says that it is cut.
func TestReadTruncated(t *testing.T) {
	text := sampleHistory(t)
	whole := strings.TrimSuffix(text, "\n")
	for n := strings.Index(text, "\n") + 1; n < len(whole); n++ {
		all, cut, err := Read(strings.NewReader(text[:n]))
		if err != nil || !cut || len(all) < strings.Count(text[:n], "\n") {
			t.Fatalf("at byte %d: %v, cut %v, %d lines", n, err, cut, len(all))
		}
	}
}

// Damage in the middle is an error with its line, and so is a file that is no history.
func TestReadDamaged(t *testing.T) {
	lines := strings.SplitAfter(sampleHistory(t), "\n")
	lines[1] = "{\"t\":3\n"
	for text, want := range map[string]string{strings.Join(lines, ""): "line 2:", "hello\n": "no history", "": "no history", lines[3]: "no history"} {
		if _, _, err := Read(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v; want %s", text, err, want)
		}
	}
}
