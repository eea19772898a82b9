package endpoints

import (
	"bytes"
	"io"
)

// jsonWhitespace holds the white space characters of JSON.
const jsonWhitespace = " \t\r\n"

// inputLimiter wraps the input of a Reader's decoder. It bounds the decoder's buffer, drops white space between objects, and
// calls alive when the sender makes progress.
type inputLimiter struct {
	source    io.Reader
	alive     func()       // called for each part of an object, and for white space between objects
	consumed  func() int64 // returns the number of bytes that the decoder has consumed
	delivered int64        // number of bytes passed to the decoder
	inObject  bool         // an object has begun and is not known to have ended; the Reader clears it at the end of an object
	err       error        // error that ended the source, kept because the decoder may call Read again after an error
}

// Read reads from the source and drops white space between objects. It returns an UnreadableError once the decoder buffers more
// than MaxEntrySize bytes.
func (w *inputLimiter) Read(b []byte) (int, error) {
	if w.delivered-w.consumed() > MaxEntrySize {
		return 0, &UnreadableError{Err: errTooLong}
	}
	for {
		if w.err != nil {
			return 0, w.err
		}
		n, err := w.source.Read(b)
		w.err = err
		got := b[:n]
		hasContent := len(bytes.Trim(got, jsonWhitespace)) > 0
		if n > 0 && (hasContent || !w.inObject) {
			w.alive()
		}
		if !w.inObject {
			n = copy(b, bytes.TrimLeft(got, jsonWhitespace))
		}
		w.inObject = w.inObject || hasContent
		w.delivered += int64(n)
		if n > 0 {
			return n, nil
		}
	}
}
