package wire_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"milletsail/internal/wire"
)

// updateWire has the tests of the wire write their golden files instead of comparing with them. CI never sets it.
var updateWire = flag.Bool("update-wire", false, "write the golden files of the wire")

// TestRepliesOnTheWire pins replies to the simulator, byte for byte. A file of testdata/wire holds the lines that the
// simulator sends, after "> ", and the reply to each batch, after "< ".
func TestRepliesOnTheWire(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join("testdata", "wire", "*.txt"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no sessions: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { compareSession(t, path) })
	}
}

// compareSession compares the replies to one session with the recorded ones.
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
		t.Errorf("the bytes on the wire have changed:\n%s\nwant:\n%s", got, text)
	}
}

// lastReply returns the reply to the last batch of a session, which it serves from the start: the same input has the same
// replies.
func lastReply(t *testing.T, session string) string {
	t.Helper()
	var out strings.Builder
	if err := wire.Serve(strings.NewReader(session), &out); err != nil {
		t.Fatal(err)
	}
	const end = "[\"ready\"]\n"
	replies := strings.SplitAfter(out.String(), end)
	if len(replies) < 2 || replies[len(replies)-1] != "" {
		t.Fatalf("incomplete reply: %q", out.String())
	}
	reply := ""
	for line := range strings.Lines(replies[len(replies)-2]) {
		reply += "< " + line
	}
	return reply
}
