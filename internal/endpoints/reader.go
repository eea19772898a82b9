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
	// BatchSize is the maximum number of entries in a Batch.
	BatchSize = 256
	// MaxEntrySize is the maximum size of one entry, and of any other input that the decoder has to buffer, in bytes.
	MaxEntrySize = 64 << 10
	// maxDepth is the maximum nesting depth of the values of unknown fields, which are skipped.
	maxDepth = 64
)

// Batch is a part of one JSON object of discovery's response.
type Batch struct {
	Entries       []Entry // at most BatchSize entries; entries without a host are dropped
	First         bool    // this is the first batch of its object
	End           bool    // this is the last batch of its object
	Seq           int64   // sequence of the list after this object; set only if End is true
	Complete      bool    // the object is a complete list rather than an update; valid only if CompleteKnown is true
	CompleteKnown bool    // Complete is final, because its field has been read or the object has ended
}

// UnreadableError reports a malformed response: the current object is lost, and a complete list has to be requested. All other
// errors of a Reader come from its input; the end of the input is io.EOF between objects and io.ErrUnexpectedEOF within one.
type UnreadableError struct {
	Offset int64 // position of the error in the decoder's input, in bytes
	Err    error // the cause
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("unreadable list at byte %d: %v", e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }

// errTooLong reports that an entry, or other input that the decoder has to buffer, exceeds MaxEntrySize.
var errTooLong = fmt.Errorf("entry or token longer than %d bytes", MaxEntrySize)

// Reader decodes discovery's response stream: JSON objects with the fields seq, whole and hosts in any order, separated by
// white space. It holds at most one batch and one entry in memory.
type Reader struct {
	// Alive, if set, is called whenever a part of an object, or white space between objects, has been received. It is not called
	// for white space alone within an object, because a sender that sends only that is not completing the object.
	Alive func()

	input   *inputLimiter
	decoder *json.Decoder
	object  *objectReader // state of the object being read; nil between objects
	err     error         // error that ended the stream; Next keeps returning it
}

// NewReader returns a Reader that decodes the response body r.
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

// Next returns the next batch. It blocks until the batch is full or its object has ended. After an error, all further calls
// return the same error.
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
		if len(bytes.Trim(part[:n], jsonWhitespace)) > 0 {
			return true
		}
		if err != nil {
			return false
		}
	}
}

// ReadObject decodes one object at the current position of a decoder, such as a list embedded in a configuration, and passes
// its batches to deliver. It stops at the first error of deliver. It does not limit the size of an entry.
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

// objectReader decodes one object of a response in batches.
type objectReader struct {
	decoder   *json.Decoder
	started   bool     // the opening brace has been read
	inHosts   bool     // the decoder is positioned inside the array of the field hosts
	seenHosts bool     // the field hosts has occurred, and must not occur again
	delivered int      // number of batches returned
	head      struct { // values of the fields seq and whole, as far as they have been read
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

// read appends entries until the batch is full or the object has ended. It reports whether the object has ended.
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

// readField reads the value of a field; of the field hosts it reads only the opening bracket. Field names are matched without
// regard to case, as encoding/json does.
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
		return &UnreadableError{Err: errors.New("duplicate field hosts")}
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

// readHosts appends entries until the batch is full or the array of the field hosts has ended.
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

// typedError converts an error of the decoder to one of the errors described at UnreadableError.
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
	return &UnreadableError{Err: fmt.Errorf("unexpected token %v", token)}
}

// skipValue skips a value of any length without buffering it as a whole. Nesting is limited to maxDepth.
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
