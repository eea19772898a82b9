package endpoints

import (
	"bytes"
	"io"
)

// blanks are the bytes of JSON's white space.
const blanks = " \t\r\n"

// inputLimiter is a Reader's input. It bounds what the decoder holds, drops what is blank between objects, and notes that the
// other side is alive.
type inputLimiter struct {
	source    io.Reader
	alive     func()
	consumed  func() int64 // bytes that the decoder has taken
	delivered int64        // bytes given to the decoder
	inObject  bool         // in the middle of an object, as far as is known
	err       error        // what has ended the input; the decoder does not keep it
}

// Read gives the next bytes that are not blank lines between objects.
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
		solid := len(bytes.Trim(got, blanks)) > 0
		if n > 0 && (solid || !w.inObject) {
			w.alive()
		}
		if !w.inObject {
			kept := bytes.TrimLeft(got, blanks)
			n = copy(b, kept)
		}
		w.inObject = w.inObject || solid
		w.delivered += int64(n)
		if n > 0 {
			return n, nil
		}
	}
}
