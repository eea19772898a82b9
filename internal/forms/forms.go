// Package forms says which forms of journals and notes a version of the relay reads and writes, so that two versions can
// be compared before one takes the place of the other.
//
// It promises that a version which does not say so, or says it in no way that can be read, is an error and never taken
// for one that fits; and that asking ends in time, whatever the program does.
package forms

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"slices"
	"time"
)

// Form is one kind of thing that outlasts a process or goes to others.
type Form struct {
	Writes int   `json:"writes"`
	Reads  []int `json:"reads"`
}

// Forms is what a version reads and writes.
type Forms struct {
	Journal Form `json:"journal"`
	Notes   Form `json:"notes"` // between relays; a note that can't be read says nothing
}

// Flag is the name of the flag that has a relay's program print its forms, as JSON on one line, and end.
const Flag = "forms"

// askTime bounds the asking of a program, maxReply the length of what it says.
const (
	askTime  = 5 * time.Second
	maxReply = 4096
)

// Ask has a program say its forms. It is started in an empty environment, and killed where it does not end in time.
func Ask(ctx context.Context, program string) (f Forms, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	c := exec.CommandContext(ctx, program, "-"+Flag)
	c.Env = []string{}
	c.WaitDelay = time.Second // a child of its own may keep the pipe
	var out limited
	c.Stdout = &out
	if err := c.Run(); err != nil {
		return f, fmt.Errorf("-%s does not say which forms it reads: %w", Flag, err)
	}
	if err := json.Unmarshal(out.Bytes(), &f); err != nil {
		return f, fmt.Errorf("-%s: %w", Flag, err)
	}
	for _, form := range []Form{f.Journal, f.Notes} {
		if form.Writes < 1 || !slices.Contains(form.Reads, form.Writes) {
			return f, fmt.Errorf("-%s: %+v is no form that can be read", Flag, form)
		}
	}
	return f, nil
}

// limited keeps the beginning of what is written.
type limited struct{ bytes.Buffer }

func (l *limited) Write(p []byte) (int, error) {
	l.Buffer.Write(p[:min(len(p), max(0, maxReply-l.Len()))])
	return len(p), nil
}

// ErrNoWayBack says that the old version can't read what the new one writes.
var ErrNoWayBack = errors.New("there would be no way back")

// Follows tells why a new version can't take the place of an old one: nil where it can, and can be taken back. Notes of
// a version that the other does not read are no reason: relays do without them, and Mute tells so.
func Follows(old, next Forms) error {
	if !slices.Contains(next.Journal.Reads, old.Journal.Writes) {
		return fmt.Errorf("the new version reads journals of the forms %v, and the old one writes %d", next.Journal.Reads, old.Journal.Writes)
	}
	if !slices.Contains(old.Journal.Reads, next.Journal.Writes) {
		return fmt.Errorf("%w: the old version reads journals of the forms %v, and the new one writes %d", ErrNoWayBack, old.Journal.Reads, next.Journal.Writes)
	}
	return nil
}

// Mute tells whether one of two versions can't read the other's notes: while both run, these say nothing.
func Mute(a, b Forms) bool {
	return !slices.Contains(a.Notes.Reads, b.Notes.Writes) || !slices.Contains(b.Notes.Reads, a.Notes.Writes)
}
