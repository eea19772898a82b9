package endpoints

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

const (
	// BatchSize is the most entries of a batch.
	BatchSize = 256
	// MaxEntrySize bounds one entry of the list in bytes, and all else between two tokens.
	MaxEntrySize = 64 << 10
	// maxDepth bounds the nesting of fields that are skipped.
	maxDepth = 64
)

// Batch is a part of an object of discovery's answer.
type Batch struct {
	Entries       []Entry // at most BatchSize; those without a host are left out
	First         bool    // the object begins with it
	End           bool    // the object ends with it
	Seq           int64   // set at End
	Complete      bool    // the object is a whole list; set if WholeKnown
	CompleteKnown bool    // the object has said whether it is a whole list, or has ended
}

// UnreadableError says that the answer is not what it should be: what the object held is lost, and the whole list has to
// be asked for. Other errors of a Reader are those of its input: io.EOF between objects, io.ErrUnexpectedEOF within one.
type UnreadableError struct {
	Offset int64 // bytes of input before
	Err    error
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("unreadable list at byte %d: %v", e.Offset, e.Err)
}

func (e *UnreadableError) Unwrap() error { return e.Err }

// errTooLong is why an answer is unreadable that holds an entry, or anything else, of more than MaxEntry bytes.
var errTooLong = fmt.Errorf("an entry of more than %d bytes", MaxEntrySize)

// Reader reads discovery's answer: JSON objects with the fields seq, whole and hosts in any order, over one line or
// many, with empty lines between. It holds no more than a batch and one entry of it.
type Reader struct {
	// Alive, if set, is called when more of an object has come, or empty lines between objects. Those within an object do
	// not count: the rest of it will not come.
	Alive func()

	input   *inputLimiter
	decoder *json.Decoder
	object  *objectReader // the object that is being read
	err     error         // what has ended the reading
}

// NewReader gives a reader of an answer.
func NewReader(r io.Reader) *Reader {
	reader := &Reader{}
	reader.input = &inputLimiter{source: r, alive: func() {
		if reader.Alive != nil {
			reader.Alive()
		}
	}}
	reader.decoder = json.NewDecoder(reader.input)
	reader.input.consumed = reader.decoder.InputOffset
	return reader
}

// Next gives the next batch. It waits for a full one, or the end of the object. After an error there is no other batch.
func (r *Reader) Next() (Batch, error) {
	if r.err != nil {
		return Batch{}, r.err
	}
	if r.object == nil {
		r.object = &objectReader{decoder: r.decoder}
	}
	batch, err := r.object.next()
	if err != nil {
		r.err = err
		return Batch{}, err
	}
	if batch.End {
		r.object = nil
		r.input.inObject = r.moreBuffered()
	}
	return batch, nil
}

// moreBuffered tells whether a further object has begun to come.
func (r *Reader) moreBuffered() bool {
	rest := r.decoder.Buffered()
	var part [64]byte
	for {
		n, err := rest.Read(part[:])
		if len(bytes.Trim(part[:n], blanks)) > 0 {
			return true
		}
		if err != nil {
			return false
		}
	}
}

// ReadObject reads one object of the list from a decoder that is in front of it, as within a configuration, and hands
// its batches on. Its bounds on one entry are those of the decoder's input.
func ReadObject(decoder *json.Decoder, deliver func(Batch) error) error {
	for object := (&objectReader{decoder: decoder}); ; {
		batch, err := object.next()
		if err != nil {
			return err
		}
		if err := deliver(batch); err != nil || batch.End {
			return err
		}
	}
}

// objectReader reads one object.
type objectReader struct {
	decoder   *json.Decoder
	started   bool
	inHosts   bool // between the brackets of hosts
	seenHosts bool // they have come
	delivered int
	head      struct {
		seq        int64
		whole      bool
		wholeKnown bool
	}
}

// next gives the next batch of the object.
func (o *objectReader) next() (Batch, error) {
	var entries []Entry
	ended, err := o.read(&entries)
	if err != nil {
		return Batch{}, o.typedError(err)
	}
	batch := Batch{Entries: entries, First: o.delivered == 0, End: ended, Complete: o.head.whole,
		CompleteKnown: o.head.wholeKnown || ended}
	if ended {
		batch.Seq = o.head.seq
	}
	o.delivered++
	return batch, nil
}

// read reads on until the batch is full or the object has ended.
func (o *objectReader) read(entries *[]Entry) (ended bool, err error) {
	if !o.started {
		if err := o.expect(json.Delim('{')); err != nil {
			return false, err
		}
		o.started = true
	}
	for {
		if o.inHosts {
			if err := o.readHosts(entries); err != nil || o.inHosts {
				return false, err
			}
		}
		token, err := o.decoder.Token()
		if err != nil {
			return false, err
		}
		if token == json.Delim('}') {
			return true, nil
		}
		if err := o.readField(token.(string)); err != nil {
			return false, err
		}
	}
}

// readField reads the value of a field, or the beginning of hosts. Names are compared as encoding/json does it.
func (o *objectReader) readField(name string) error {
	switch {
	case strings.EqualFold(name, "seq"):
		return o.decoder.Decode(&o.head.seq)
	case strings.EqualFold(name, "whole"):
		o.head.wholeKnown = true
		return o.decoder.Decode(&o.head.whole)
	case strings.EqualFold(name, "hosts"):
		return o.startHosts()
	}
	return skipValue(o.decoder)
}

func (o *objectReader) startHosts() error {
	if o.seenHosts {
		return &UnreadableError{Err: errors.New("hosts given twice")}
	}
	o.seenHosts = true
	token, err := o.decoder.Token()
	switch {
	case err != nil:
		return err
	case token == nil:
		return nil
	case token != json.Delim('['):
		return unexpected(token)
	}
	o.inHosts = true
	return nil
}

// readHosts reads entries until the batch is full or the last one has come.
func (o *objectReader) readHosts(entries *[]Entry) error {
	for o.decoder.More() {
		if len(*entries) == BatchSize {
			return nil
		}
		var entry Entry
		if err := o.decoder.Decode(&entry); err != nil {
			return err
		}
		if entry.Host != "" {
			*entries = append(*entries, entry)
		}
	}
	o.inHosts = false
	return o.expect(json.Delim(']'))
}

func (o *objectReader) expect(delim json.Delim) error {
	token, err := o.decoder.Token()
	if err == nil && token != delim {
		err = unexpected(token)
	}
	return err
}

// typedError turns an error into one of the types that the callers tell apart.
func (o *objectReader) typedError(err error) error {
	if unreadable := new(UnreadableError); errors.As(err, &unreadable) {
		unreadable.Offset = o.decoder.InputOffset()
		return unreadable
	}
	switch {
	case errors.As(err, new(*json.SyntaxError)), errors.As(err, new(*json.UnmarshalTypeError)):
		return &UnreadableError{Offset: o.decoder.InputOffset(), Err: err}
	case err == io.EOF && o.started:
		return io.ErrUnexpectedEOF
	}
	return err
}

func unexpected(token json.Token) error {
	return &UnreadableError{Err: fmt.Errorf("unexpected %v", token)}
}

// skipValue passes over a value of any length.
func skipValue(decoder *json.Decoder) error {
	for depth := 0; ; {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth > maxDepth {
			return &UnreadableError{Err: errors.New("nested too deeply")}
		}
		if depth == 0 {
			return nil
		}
	}
}
