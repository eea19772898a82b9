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

// Events that were written are read again in the order of time, with their line numbers in the file.
func TestRead(t *testing.T) {
	all, cut, err := Read(strings.NewReader(sampleHistory(t)))
	if err != nil || cut || len(all) != 4 || all[1].Kind != HandIn || all[1].Line != 3 || all[2].Line != 2 {
		t.Errorf("read back a complete history: error %v, truncated %v, events %+v; want 4 events sorted by time", err, cut, all)
	}
}

// A file cut off at any byte after its first line must still yield its complete lines and be reported as truncated.
func TestReadTruncated(t *testing.T) {
	text := sampleHistory(t)
	whole := strings.TrimSuffix(text, "\n")
	for n := strings.Index(text, "\n") + 1; n < len(whole); n++ {
		all, cut, err := Read(strings.NewReader(text[:n]))
		if err != nil || !cut || len(all) < strings.Count(text[:n], "\n") {
			t.Fatalf("file cut off at byte %d: error %v, truncated %v, %d events; want all complete lines and truncated", n, err, cut, len(all))
		}
	}
}

// A malformed line in the middle, or a file that is no history, must be an error that says where or what.
func TestReadDamaged(t *testing.T) {
	lines := strings.SplitAfter(sampleHistory(t), "\n")
	lines[1] = "{\"t\":3\n"
	for text, want := range map[string]string{strings.Join(lines, ""): "line 2:", "hello\n": "no history", "": "no history", lines[3]: "no history"} {
		if _, _, err := Read(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("reading %q: got error %v; want one that contains %s", text, err, want)
		}
	}
}
