package endpoints

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// object is one object of a response in the form in which encoding/json decodes it.
type object struct {
	Seq      int64   `json:"seq"`
	Complete bool    `json:"whole"`
	Hosts    []Entry `json:"hosts"`
}

// reporter is implemented by testing.T and rapid.T.
type reporter interface {
	Errorf(format string, args ...any)
}

// readAll reads all batches of a response and assembles the objects that ended. It returns the error that ended the stream.
func readAll(t reporter, r *Reader) (objects []object, err error) {
	var current *object
	for {
		batch, err := r.Next()
		if err != nil {
			return objects, err
		}
		if batch.First != (current == nil) {
			t.Errorf("Batch.First is %v while an object is in progress: %v", batch.First, current != nil)
		}
		if len(batch.Entries) > BatchSize {
			t.Errorf("batch has %d entries, more than BatchSize", len(batch.Entries))
		}
		if current == nil {
			current = &object{}
		}
		current.Hosts = append(current.Hosts, batch.Entries...)
		if batch.CompleteKnown {
			current.Complete = batch.Complete
		}
		if batch.End {
			if !batch.CompleteKnown {
				t.Errorf("last batch of an object has CompleteKnown false")
			}
			current.Seq = batch.Seq
			objects = append(objects, *current)
			current = nil
		}
	}
}

func exampleEntries(n int) (entries []Entry) {
	for i := range n {
		entries = append(entries, exampleEntry(i))
	}
	return entries
}

func encode(tb testing.TB, v any) []byte {
	tb.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		tb.Fatal(err)
	}
	return text
}

func TestReaderForms(t *testing.T) {
	a, b := exampleEntry(1), exampleEntry(2)
	entryA, entryB := string(encode(t, a)), string(encode(t, b))
	want := []object{{Seq: 7, Complete: true, Hosts: []Entry{a, b}}}
	for name, text := range map[string]string{
		"usual order":   `{"seq":7,"whole":true,"hosts":[` + entryA + `,` + entryB + `]}`,
		"hosts first":   `{"hosts":[` + entryA + `,` + entryB + `],"whole":true,"seq":7}`,
		"hosts between": `{"whole":true,"hosts":[` + entryA + `,` + entryB + `],"seq":7}`,
		"unknown fields": `{"x":{"y":[1,{"z":null}]},"seq":7,"hosts":[` + entryA + `,` +
			strings.Replace(entryB, "{", `{"more":[1,{}],`, 1) + `],"whole":true,"z":"}"}`,
		"upper case":     `{"Seq":7,"WHOLE":true,"Hosts":[` + entryA + `,` + entryB + `]}`,
		"blank lines":    "\n\n \r\n\t" + `{"seq":7,"whole":true,"hosts":[` + entryA + `,` + entryB + "]}\n\n\n",
		"an empty entry": `{"seq":7,"whole":true,"hosts":[null,` + entryA + `,{},` + entryB + `]}`,
		"indented": func() string {
			var out bytes.Buffer
			_ = json.Indent(&out, encode(t, want[0]), "", "      ")
			return out.String()
		}(),
	} {
		t.Run(name, func(t *testing.T) {
			for _, in := range []io.Reader{
				strings.NewReader(text),
				iotest.OneByteReader(strings.NewReader(text)),
				iotest.DataErrReader(strings.NewReader(text)),
			} {
				got, err := readAll(t, NewReader(in))
				if !errors.Is(err, io.EOF) || !reflect.DeepEqual(got, want) {
					t.Errorf("got objects %+v and error %v, want the object with two entries and EOF", got, err)
				}
			}
		})
	}
}

func TestReaderWithoutHosts(t *testing.T) {
	for _, text := range []string{`{"seq":7}`, `{"hosts":null,"seq":7}`, `{"hosts":[],"seq":7,"whole":null}`} {
		got, err := readAll(t, NewReader(strings.NewReader(text)))
		if !errors.Is(err, io.EOF) || !reflect.DeepEqual(got, []object{{Seq: 7}}) {
			t.Errorf("%s: got objects %+v and error %v, want one object with sequence 7 and no hosts, and EOF", text, got, err)
		}
	}
}

func TestReaderUnreadable(t *testing.T) {
	entry := string(encode(t, exampleEntry(1)))
	for _, text := range []string{
		`nonsense`, `[]`, `null`, `7`, `}`, `{"seq":"x"}`, `{"seq":1.5}`, `{"whole":1}`, `{"hosts":{}}`, `{"hosts":[7]}`, `{7:1}`,
		`{"hosts":[{"host":7}]}`, `{"hosts":[` + entry + `,]}`, `{"hosts":[` + entry + `}`, `{"hosts":[` + entry + ` ` + entry + `]}`,
		`{"seq":1,}`, `{"seq" 1}`, `{"seq":1 "whole":true}`, `{"hosts":[],"hosts":[]}`,
		`{"x":` + strings.Repeat("[", maxDepth+1) + `}`,
		`{"x":"` + strings.Repeat("x", 2*MaxEntrySize) + `"}`,
		`{"hosts":[{"host":"` + strings.Repeat("x", 2*MaxEntrySize) + `"}]}`,
		`{"hosts":[` + strings.Repeat(" ", 3*MaxEntrySize) + `]}`,
	} {
		got, err := readAll(t, NewReader(strings.NewReader(text)))
		if unreadable := new(UnreadableError); !errors.As(err, &unreadable) || len(got) != 0 {
			t.Errorf("%.60s: got objects %+v and error %v, want no object and an UnreadableError", text, got, err)
		}
	}
}

// Guards against treating a response that is cut off at any byte as malformed, against losing objects that were complete before
// the cut, and against ending the incomplete one.
func TestReaderCutOff(t *testing.T) {
	first := append(encode(t, object{Seq: 1, Hosts: exampleEntries(1)}), "\n\n"...)
	second := encode(t, object{Seq: 2, Complete: true, Hosts: exampleEntries(3)})
	text := append(first, second...)
	broken := errors.New("connection reset")
	for cut := range len(text) {
		got, err := readAll(t, NewReader(bytes.NewReader(text[:cut])))
		objectOpen := cut > 0 && cut < len(first)-2 || cut > len(first)
		if want := map[bool]error{true: io.ErrUnexpectedEOF, false: io.EOF}[objectOpen]; !errors.Is(err, want) {
			t.Fatalf("cut at %d: got error %v, want %v", cut, err, want)
		}
		if want := cut >= len(first)-2; (len(got) == 1) != want {
			t.Fatalf("cut at %d: got %d objects, want the first object if and only if all of it precedes the cut", cut, len(got))
		}
		in := io.MultiReader(bytes.NewReader(text[:cut]), iotest.ErrReader(broken))
		if _, err := readAll(t, NewReader(in)); !errors.Is(err, broken) {
			t.Fatalf("cut at %d: got error %v, want the error of the input", cut, err)
		}
	}
}

// Guards against results that differ from those of encoding/json when a response arrives in chunks of any length, or with one
// bit flipped.
func TestReaderMatchesEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text []byte
		for seq := range rapid.IntRange(1, 4).Draw(t, "objects") {
			n := rapid.SampledFrom([]int{0, 1, 2, BatchSize - 1, BatchSize, BatchSize + 1, 3 * BatchSize}).Draw(t, "entries")
			o, _ := json.Marshal(object{Seq: int64(seq), Complete: rapid.Bool().Draw(t, "whole"), Hosts: exampleEntries(n)})
			text = append(append(text, o...), strings.Repeat("\n", rapid.IntRange(0, 3).Draw(t, "blank"))...)
		}
		if rapid.Bool().Draw(t, "corrupt") {
			text[rapid.IntRange(0, len(text)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		}
		want := decodeAll(text)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		got, err := readAll(t, NewReader(&randomChunks{bytes.NewReader(text), random}))
		if len(got) != len(want) {
			t.Fatalf("got %d objects, want %d; error %v", len(got), len(want), err)
		}
		for i := range got {
			if got[i].Seq != want[i].Seq || got[i].Complete != want[i].Complete || fmt.Sprint(got[i].Hosts) != fmt.Sprint(want[i].Hosts) {
				t.Fatalf("object %d: got %+v, want %+v", i, got[i], want[i])
			}
		}
	})
}

// decodeAll decodes objects with encoding/json up to the first error, and drops entries without a host as Reader does.
func decodeAll(text []byte) (objects []object) {
	for decoder := json.NewDecoder(bytes.NewReader(text)); ; {
		var o object
		if decoder.Decode(&o) != nil {
			return objects
		}
		named := o.Hosts[:0]
		for _, e := range o.Hosts {
			if e.Host != "" {
				named = append(named, e)
			}
		}
		o.Hosts = named
		objects = append(objects, o)
	}
}

// randomChunks is a reader that returns its input in chunks of random length.
type randomChunks struct {
	from   *bytes.Reader
	random *rand.Rand
}

func (p *randomChunks) Read(b []byte) (int, error) {
	return p.from.Read(b[:min(len(b), 1+p.random.IntN(1<<p.random.IntN(14)))])
}

// fixedChunks is a reader that returns one of its parts with each call of Read.
type fixedChunks struct{ parts []string }

func (s *fixedChunks) Read(b []byte) (int, error) {
	if len(s.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(b, s.parts[0])
	s.parts = s.parts[1:]
	return n, nil
}

// Guards against a sender counting as alive that sends only blank lines after a part of an object.
func TestReaderReportsAlive(t *testing.T) {
	response := `{"seq":1,"hosts":[]}`
	for _, c := range []struct {
		name  string
		parts []string
		want  int
	}{
		{"blank lines only", []string{"\n", "\n", "\r\n"}, 3},
		{"parts of an object", []string{`{"seq":1,`, `"hosts":[]`, `}`}, 3},
		{"blank lines within an object", []string{`{"seq":1,`, "\n", "\n", "\n"}, 1},
		{"blank lines within the second object", []string{response + `{"seq`, "\n", "\n"}, 1},
		{"blank lines after an object", []string{response, "\n", "\n", response + "\n", "\n"}, 5},
		{"object continued after blank lines", []string{`{"seq":1,`, "\n", `"hosts":[]}`, "\n"}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewReader(&fixedChunks{c.parts})
			alive := 0
			r.Alive = func() { alive++ }
			_, _ = readAll(t, r)
			if alive != c.want {
				t.Errorf("Alive was called %d times, want %d", alive, c.want)
			}
		})
	}
}

// blankLines is a reader that returns the given number of line feeds.
type blankLines struct{ left int }

func (l *blankLines) Read(b []byte) (int, error) {
	if l.left == 0 {
		return 0, io.EOF
	}
	n := min(len(b), l.left)
	for i := range b[:n] {
		b[i] = '\n'
	}
	l.left -= n
	return n, nil
}

// Guards against counting blank lines between objects, which a server sends to keep the connection alive, towards MaxEntrySize.
func TestReaderUnboundedBlankLines(t *testing.T) {
	in := io.MultiReader(
		&blankLines{100 * MaxEntrySize}, strings.NewReader(`{"seq":1}`),
		&blankLines{100 * MaxEntrySize}, strings.NewReader(`{"seq":2}`))
	got, err := readAll(t, NewReader(in))
	if !errors.Is(err, io.EOF) || len(got) != 2 {
		t.Errorf("got %d objects and error %v, want 2 objects and EOF", len(got), err)
	}
}

func TestReadObjectWithinAnother(t *testing.T) {
	want := object{Seq: 3, Complete: true, Hosts: exampleEntries(BatchSize + 1)}
	text := append(append([]byte(`{"before":1,"known":`), encode(t, want)...), `,"after":2}`...)
	decoder := json.NewDecoder(bytes.NewReader(text))
	for range 4 { // skips the tokens {, "before", 1 and "known"
		if _, err := decoder.Token(); err != nil {
			t.Fatal(err)
		}
	}
	var got object
	err := ReadObject(decoder, func(b Batch) error {
		got.Hosts = append(got.Hosts, b.Entries...)
		got.Seq, got.Complete = b.Seq, b.Complete
		return nil
	})
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("ReadObject delivered %d entries that differ from the encoded object, or failed: %v", len(got.Hosts), err)
	}
	if token, err := decoder.Token(); err != nil || token != "after" {
		t.Errorf("next token after ReadObject is %v, error %v, want \"after\"", token, err)
	}
}

// listText returns a reader of a complete list, whose text is generated while it is read and never held in memory as a whole.
func listText(entries int) io.Reader {
	r, w := io.Pipe()
	go func() {
		_, _ = io.WriteString(w, `{"seq":1,"whole":true,"hosts":[`)
		for i := range entries {
			if i > 0 {
				_, _ = io.WriteString(w, ",")
			}
			text, _ := json.Marshal(exampleEntry(i))
			_, _ = w.Write(text)
		}
		_, _ = io.WriteString(w, "]}")
		_ = w.Close()
	}()
	return r
}

// maxReaderBytes is the maximum heap growth while a list of any length is read, in bytes.
const maxReaderBytes = 1 << 20

// Guards against memory that grows with the length of the list while it is read.
func TestReaderMemory(t *testing.T) {
	r := NewReader(listText(20_000))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	count := 0
	for batches := 0; ; batches++ {
		batch, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		count += len(batch.Entries)
		if batches%20 == 0 {
			runtime.GC()
			runtime.ReadMemStats(&after)
			if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > maxReaderBytes {
				t.Fatalf("heap grew by %d bytes after %d entries, more than maxReaderBytes", grown, count)
			}
		}
		if batch.End {
			break
		}
	}
	if count != 20_000 {
		t.Errorf("read %d entries, want 20000", count)
	}
}
