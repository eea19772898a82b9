package relay

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// The tests named ...OnTheWire compare the bytes that a running relay sends to other programs with golden files. Sockets on the
// loopback interface stand in for clients, endpoints, the discovery service, operators and other relays. These tests use no
// internal types of the relay, so that they stay valid when its structure changes.

// updateWire makes the tests write the golden files instead of comparing with them. CI never sets it.
var updateWire = flag.Bool("update-wire", false, "write the golden files in testdata/wire instead of comparing with them")

// mask replaces the matches of a pattern, which vary between runs, by a word.
type mask struct {
	pattern *regexp.Regexp
	word    string
}

// Masks for text in the form that section returns. Everything that no mask replaces is compared byte for byte.
var (
	// maskPort hides the port of an address on the loopback interface, which the system chooses.
	maskPort = mask{regexp.MustCompile(`127\.0\.0\.1:\d+`), "127.0.0.1:PORT"}
	// maskDate hides the time in the Date header of a response.
	maskDate = mask{regexp.MustCompile(`(?m)^Date: \w{3}, \d\d \w{3} \d{4} \d\d:\d\d:\d\d GMT\\r$`), `Date: DATE\r`}
	// maskTimeout hides the remaining time of a message, but keeps the fact that it has three decimals.
	maskTimeout = mask{regexp.MustCompile(`(?m)^Request-Timeout: \d+\.\d{3}\\r$`), `Request-Timeout: SECONDS.3\r`}
	// maskRetryAfter hides a wait that depends on the clock, but keeps the fact that it has three decimals.
	maskRetryAfter = mask{regexp.MustCompile(`(?m)^Retry-After: \d+\.\d{3}\\r$`), `Retry-After: SECONDS.3\r`}
	// maskAgain hides the milliseconds that a client has to wait, which depend on the clock.
	maskAgain = mask{regexp.MustCompile(`"again_ms":\d+`), `"again_ms":MILLISECONDS`}
)

// applyMasks returns a text with the matches of the masks replaced.
func applyMasks(text string, masks ...mask) string {
	for _, hidden := range masks {
		text = hidden.pattern.ReplaceAllString(text, hidden.word)
	}
	return text
}

// section formats received bytes as a section of a golden file with a title. Carriage returns are written as \r, and a missing
// newline at the end is marked.
func section(title, text string) string {
	text = strings.ReplaceAll(text, "\r", `\r`)
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\\ no end of line\n"
	}
	return "== " + title + "\n" + text
}

// compareWire compares a text with a golden file in testdata/wire.
func compareWire(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "wire", name)
	if *updateWire {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: the sent bytes differ from the golden file; got:\n%s\nwant:\n%s", path, got, want)
	}
}
