package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"milletsail/internal/lab/platform"
)

func newTestList(t *testing.T, count int) *List {
	t.Helper()
	l, err := NewList(count, func(index int) platform.Entry {
		return platform.Entry{Host: fmt.Sprint("h", index), Block: index, Health: Serving}
	})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// A whole list has all listed entries; the changes since a version have each changed entry once, in its latest state.
func TestList(t *testing.T) {
	l := newTestList(t, 4)
	for _, c := range []struct {
		index  int
		health string
	}{{1, Deleted}, {2, Deleted}, {1, Serving}} {
		if _, err := l.Set(c.health, c.index); err != nil {
			t.Fatal(err)
		}
	}
	if l.Listed() != 3 || l.Version() != 4 {
		t.Errorf("the list has %d entries at version %d, want 3 at version 4", l.Listed(), l.Version())
	}
	read := func(write func(*bytes.Buffer) (int, error)) (m platform.Members) {
		var b bytes.Buffer
		version, err := write(&b)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(b.Bytes(), &m); err != nil || m.Seq != version {
			t.Fatalf("written list is %s (error %v), want JSON with the returned version", b.Bytes(), err)
		}
		return m
	}
	whole := read(func(b *bytes.Buffer) (int, error) { return l.WriteWhole(b) })
	if !whole.Whole || len(whole.Hosts) != 3 || whole.Hosts[1].Host != "h1" || whole.Hosts[2].Host != "h3" {
		t.Errorf("whole list is %+v, want h0, h1 and h3", whole)
	}
	since := read(func(b *bytes.Buffer) (int, error) { return l.WriteSince(b, 1) })
	if since.Whole || len(since.Hosts) != 2 || since.Hosts[0].Health != Serving || since.Hosts[1].Health != Deleted {
		t.Errorf("changes since version 1 are %+v, want h1 listed and h2 deleted", since)
	}
	if last := read(func(b *bytes.Buffer) (int, error) { return l.WriteSince(b, 3) }); len(last.Hosts) != 1 || last.Hosts[0].Host != "h1" {
		t.Errorf("changes since version 3 are %+v, want h1 only", last)
	}
	if l.await(3) != nil || l.await(4) == nil {
		t.Error("await returned a channel for a change that is there already, or none for the next change")
	}
}
