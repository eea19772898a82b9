package endpoints

import (
	"bytes"
	"io"
)

// blanks is the white space of JSON.
const blanks = " \t\r\n"

// inputLimiter is the input of a Reader's decoder. It bounds the decoder's buffer, drops white space between objects, and
// reports that the sender is alive.
type inputLimiter struct {
	source    io.Reader
	alive     func()
	consumed  func() int64 // bytes that the decoder has consumed
	delivered int64        // bytes that were passed to the decoder
	inObject  bool         // an object has begun and, as far as is known, not ended
	err       error        // end of the input; the decoder does not keep it
}

// Read reads from the source, without white space between objects.
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
			n = copy(b, bytes.TrimLeft(got, blanks))
		}
		w.inObject = w.inObject || solid
		w.delivered += int64(n)
		if n > 0 {
			return n, nil
		}
	}
}
