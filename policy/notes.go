package policy

import (
	"encoding/binary"
	"time"
)

// closing is what relays tell each other: a destination refuses calls, for a wait, or for none that was told.
// Its note is a mark, the number of the destination, and the wait in milliseconds.
type closing struct {
	dest int
	wait time.Duration
}

// The first byte of a note says of which form it is: closing, or that an endpoint is back, with its name.
const closingMark, backMark = 'c', 'b'

func backNote(endpoint string) []byte { return append([]byte{backMark}, endpoint...) }

// readBack gives the endpoint that a note says is back, or nothing.
func readBack(note []byte) string {
	if len(note) == 0 || note[0] != backMark {
		return ""
	}
	return string(note[1:])
}

func (c closing) note() []byte {
	b := binary.AppendUvarint([]byte{closingMark}, uint64(c.dest))
	return binary.AppendUvarint(b, uint64(c.wait.Milliseconds()))
}

// readClosing reads a note; one that is not whole, or has more than it should, says nothing.
func readClosing(note []byte) (c closing, ok bool) {
	if len(note) == 0 || note[0] != closingMark {
		return c, false
	}
	dest, n := binary.Uvarint(note[1:])
	if n <= 0 || dest > maxNumber {
		return c, false
	}
	wait, m := binary.Uvarint(note[1+n:])
	if m <= 0 || wait > maxNumber || len(note) != 1+n+m {
		return c, false
	}
	return closing{int(dest), time.Duration(wait) * time.Millisecond}, true
}

// maxNumber bounds the numbers of a note, so that none overflows.
const maxNumber = 1 << 31
