package config

import (
	"strings"
	"testing"
	"time"
)

// An unknown key, a value of another type, and a duration without a unit are errors with the file's name and the line.
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
			t.Errorf("%q: %+v, %v", c.text, decoded, err)
		}
		if c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)) {
			t.Errorf("%q: %v, want %s", c.text, err, c.want)
		}
	}
}

// A duration is encoded in the format that is decoded.
func TestDurationRoundTrip(t *testing.T) {
	want := Duration(1500 * time.Millisecond)
	text, err := want.MarshalText()
	if err != nil {
		t.Fatal(err)
	}
	var got Duration
	if err := got.UnmarshalText(text); err != nil || got != want || got.Seconds() != 1.5 {
		t.Errorf("%v, %v from %s, want %v", got, err, text, want)
	}
}
