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
	// BatchSize is the maximum number of entries of a batch.
	BatchSize = 256
	// MaxEntrySize bounds one entry of the list, and anything else between two tokens, in bytes.
	MaxEntrySize = 64 << 10
	// maxDepth bounds the nesting of fields that are skipped.
	maxDepth = 64
)

// Batch is a part of an object of discovery's response.
type Batch struct {
	Entries       []Entry // at most BatchSize; those without a host are left out
	First         bool    // the first batch of its object
	End           bool    // the last batch of its object
	Seq           int64   // set at End
	Complete      bool    // the object is a complete list and not an update; valid if CompleteKnown
	CompleteKnown bool    // it is known whether the list is complete: the object has said so, or has ended
}

// UnreadableError says that the response is malformed: the object is lost, and a complete list has to be requested. Other
// errors of a Reader are those of its input: io.EOF between objects, io.ErrUnexpectedEOF within one.
type UnreadableError struct {
	Offset int64 // bytes of input in front of the error
	Err    error
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("unreadable list at byte %d: %v", e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }

// errTooLong says that an entry, or anything else between two tokens, exceeds MaxEntrySize.
var errTooLong = fmt.Errorf("an entry of more than %d bytes", MaxEntrySize)

// Reader decodes discovery's response stream: JSON objects with the fields seq, whole and hosts in any order, separated by
// white space. Its memory is bounded by one batch and one entry.
type Reader struct {
	// Alive, if set, is called when a part of an object was received, or white space between objects. White space within
	// an object does not count: a sender that stalls there does not complete the object.
	Alive func()

	input   *inputLimiter
	decoder *json.Decoder
	object  *objectReader // the object that is being read
	err     error         // the error that ended the stream
}

// NewReader returns a reader of a response.
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

// Next returns the next batch. It blocks until the batch is full or its object has ended. All calls after an error return
// the same error.
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

// moreBuffered reports whether the decoder has buffered the beginning of another object.
func (r *Reader) moreBuffered() bool {
	buffered := r.decoder.Buffered()
	var part [64]byte
	for {
		n, err := buffered.Read(part[:])
		if len(bytes.Trim(part[:n], blanks)) > 0 {
			return true
		}
		if err != nil {
			return false
		}
	}
}

// ReadObject decodes one object at the position of a decoder, such as a list within a configuration, and passes its batches
// to deliver. The size of an entry is bounded only by the decoder's input.
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

// objectReader decodes one object.
type objectReader struct {
	decoder   *json.Decoder
	started   bool
	inHosts   bool // between the brackets of hosts
	seenHosts bool // the field hosts has occurred
	delivered int
	head      struct {
		seq           int64
		complete      bool
		completeKnown bool
	}
}

// next returns the next batch of the object.
func (o *objectReader) next() (Batch, error) {
	var entries []Entry
	ended, err := o.read(&entries)
	if err != nil {
		return Batch{}, o.typedError(err)
	}
	batch := Batch{Entries: entries, First: o.delivered == 0, End: ended, Complete: o.head.complete,
		CompleteKnown: o.head.completeKnown || ended}
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
		name, ok := token.(string)
		if !ok {
			return false, unexpected(token)
		}
		if err := o.readField(name); err != nil {
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
		o.head.completeKnown = true
		return o.decoder.Decode(&o.head.complete)
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

// typedError converts an error of the decoder to one of those that Reader documents.
func (o *objectReader) typedError(err error) error {
	if unreadable := new(UnreadableError); errors.As(err, &unreadable) {
		unreadable.Offset = o.decoder.InputOffset()
		return unreadable
	}
	switch {
	case errors.As(err, new(*json.SyntaxError)), errors.As(err, new(*json.UnmarshalTypeError)):
		return &UnreadableError{Offset: o.decoder.InputOffset(), Err: err}
	case errors.Is(err, io.EOF) && o.started:
		return io.ErrUnexpectedEOF
	}
	return err
}

func unexpected(token json.Token) error {
	return &UnreadableError{Err: fmt.Errorf("unexpected %v", token)}
}

// skipValue skips a value of any length.
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
