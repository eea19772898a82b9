package wire_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"milletsail/internal/wire"
)

// updateWire makes the test rewrite the golden files in testdata/wire instead of comparing with them. CI never sets it.
var updateWire = flag.Bool("update-wire", false, "write the golden files of the wire")

// TestRepliesOnTheWire compares the replies to the simulator with golden files, byte for byte. A file in testdata/wire holds one
// session: the lines that the simulator sends start with "> ", and the lines of the reply to each batch with "< ".
func TestRepliesOnTheWire(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join("testdata", "wire", "*.txt"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no golden files found in testdata/wire: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { compareSession(t, path) })
	}
}

// compareSession fails the test unless the replies in one session equal those in its golden file.
func compareSession(t *testing.T, path string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	got, sent := "", ""
	for line := range strings.Lines(string(text)) {
		input, isInput := strings.CutPrefix(line, "> ")
		if !isInput {
			continue
		}
		got += line
		sent += input
		if strings.Contains(input, `"your_turn"`) {
			got += lastReply(t, sent)
		}
	}
	if *updateWire {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	if got != string(text) {
		t.Errorf("replies differ from the golden file:\n%s\nwant:\n%s", got, text)
	}
}

// lastReply returns the reply to the last batch of a session. It serves the session from the start, which is possible because the
// same input always has the same replies.
func lastReply(t *testing.T, session string) string {
	t.Helper()
	var out strings.Builder
	if err := wire.Serve(strings.NewReader(session), &out); err != nil {
		t.Fatal(err)
	}
	const end = "[\"ready\"]\n"
	replies := strings.SplitAfter(out.String(), end)
	if len(replies) < 2 || replies[len(replies)-1] != "" {
		t.Fatalf("replies do not end with \"ready\": %q", out.String())
	}
	reply := ""
	for line := range strings.Lines(replies[len(replies)-2]) {
		reply += "< " + line
	}
	return reply
}
