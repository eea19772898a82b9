package config

import (
	"strings"
	"testing"
	"time"
)

// An unknown key, a value of the wrong type, and an invalid duration must be errors that start with the file name and the line, so
// that the operator finds the place.
func TestDecode(t *testing.T) {
	type file struct {
		Name  string   `toml:"name"`
		Delay Duration `toml:"delay"`
	}
	for _, c := range []struct{ text, want string }{
		{"name = \"a\"\ndelay = \"1.5s\"\n", ""},
		{"name = \"a\"\nspeed = 1\n", `file:2: unknown key "speed"`},
		{"\nname = 1\n", "file:2: name"},
		{"delay = \"5\"\n", "file:1: delay"},
		{"delay = \"-1s\"\n", "file:1: delay"},
		{"name = \"a\n", "file"},
	} {
		var decoded file
		err := Decode("file", []byte(c.text), &decoded)
		if c.want == "" && (err != nil || decoded.Name != "a" || decoded.Delay.AsDuration() != 1500*time.Millisecond) {
			t.Errorf("document %q: got %+v, error %v, want name a and a delay of 1.5s", c.text, decoded, err)
		}
		if c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)) {
			t.Errorf("document %q: got error %v, want one that starts with %s", c.text, err, c.want)
		}
	}
}

// Encoding and decoding a duration must return the same duration.
func TestDurationRoundTrip(t *testing.T) {
	want := Duration(1500 * time.Millisecond)
	text, err := want.MarshalText()
	if err != nil {
		t.Fatal(err)
	}
	var got Duration
	if err := got.UnmarshalText(text); err != nil || got != want || got.Seconds() != 1.5 {
		t.Errorf("got duration %v, error %v from %s, want %v", got, err, text, want)
	}
}
