package relay

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// The tests of the wire pin the bytes that go out of a relay, as other programs see them: a relay runs, and sockets on
// the loopback stand in for clients, endpoints, discovery, operators and other relays. They hold none of the relay's
// inner types, so that they outlast any change of its shape.

// updateWire has the tests of the wire write their golden files instead of comparing with them. CI never sets it.
var updateWire = flag.Bool("update-wire", false, "write the golden files of the wire")

// mask puts a word in place of what varies from run to run.
type mask struct {
	pattern *regexp.Regexp
	word    string
}

// The masks, each for what it says, on text as section gives it; all else on the wire is compared byte for byte.
var (
	// maskPort hides the port of an address on the loopback, which the system gives.
	maskPort = mask{regexp.MustCompile(`127\.0\.0\.1:\d+`), "127.0.0.1:PORT"}
	// maskDate hides the moment of an answer.
	maskDate = mask{regexp.MustCompile(`(?m)^Date: \w{3}, \d\d \w{3} \d{4} \d\d:\d\d:\d\d GMT\\r$`), `Date: DATE\r`}
	// maskTimeout hides what is left of a message's time, but not its three decimals.
	maskTimeout = mask{regexp.MustCompile(`(?m)^Request-Timeout: \d+\.\d{3}\\r$`), `Request-Timeout: SECONDS.3\r`}
	// maskRetryAfter hides a wait that follows from the clock, but not its three decimals.
	maskRetryAfter = mask{regexp.MustCompile(`(?m)^Retry-After: \d+\.\d{3}\\r$`), `Retry-After: SECONDS.3\r`}
	// maskAgain hides the milliseconds that a client is to stay away, which follow from the clock.
	maskAgain = mask{regexp.MustCompile(`"again_ms":\d+`), `"again_ms":MILLISECONDS`}
)

// applyMasks gives a text with what varies hidden.
func applyMasks(text string, masks ...mask) string {
	for _, hidden := range masks {
		text = hidden.pattern.ReplaceAllString(text, hidden.word)
	}
	return text
}

// section gives bytes of the wire as a part of a golden file: a line for each line, where \r stays visible, and so
// does that the last line has no end.
func section(title, text string) string {
	text = strings.ReplaceAll(text, "\r", `\r`)
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\\ no end of line\n"
	}
	return "== " + title + "\n" + text
}

// compareWire compares a text with a golden file of testdata/wire.
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
		t.Errorf("%s: the bytes on the wire have changed:\n%s\nwant:\n%s", path, got, want)
	}
}
