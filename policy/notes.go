package policy

import (
	"encoding/binary"
	"time"
)

// limitNote is what relays tell each other of a destination's limit: it refused a call that was sent an age ago, for a
// wait, or for none that was told; or it took one, so that it is open.
type limitNote struct {
	open bool
	dest int
	wait time.Duration
	age  time.Duration
}

// The first byte of a note says of which form it is: a limitNote, with its numbers and milliseconds, or that an
// endpoint is back, or has taken no connection, with its name.
const closedMark, openMark, backMark, noRoomMark = 'c', 'o', 'b', 'n'

// trialNote is what relays tell each other of an endpoint on trial: how a message of a class fared there. Its number,
// drawn, tells it from a copy of itself.
type trialNote struct {
	endpoint string
	class    int
	bad      bool
	no       uint64
}

// The first byte of a trialNote.
const trialOKMark, trialBadMark = 'g', 'w'

func (n trialNote) note() []byte {
	b := []byte{trialOKMark}
	if n.bad {
		b[0] = trialBadMark
	}
	return append(binary.AppendUvarint(binary.AppendUvarint(b, uint64(n.class)), n.no), n.endpoint...)
}

// readTrial reads a trialNote; one that is not whole says nothing.
func readTrial(note []byte) (n trialNote, ok bool) {
	if len(note) == 0 || note[0] != trialOKMark && note[0] != trialBadMark {
		return n, false
	}
	class, l := binary.Uvarint(note[1:])
	if l <= 0 || class > maxNumber {
		return n, false
	}
	no, k := binary.Uvarint(note[1+l:])
	if k <= 0 || no > maxNumber {
		return n, false
	}
	return trialNote{string(note[1+l+k:]), int(class), note[0] == trialBadMark, no}, true
}

// Observed is what a note of Tell and Heard says: that a destination has refused a call that was sent an age ago, for a
// wait or for none that was told, or has taken one; or that an endpoint is back, or has taken no connection.
type Observed struct {
	Closed, Open, Back, NoRoom bool // one of them
	Destination                int
	Endpoint                   string
	Wait, Age                  time.Duration
}

// ReadNote reads a note; one that is not whole says nothing.
func ReadNote(note []byte) (o Observed, ok bool) {
	if l, ok := readLimit(note); ok {
		return Observed{Closed: !l.open, Open: l.open, Destination: l.dest, Wait: l.wait, Age: l.age}, true
	}
	if o.Endpoint = readEndpoint(backMark, note); o.Endpoint != "" {
		o.Back = true
	} else if o.Endpoint = readEndpoint(noRoomMark, note); o.Endpoint != "" {
		o.NoRoom = true
	}
	return o, o.Back || o.NoRoom
}

// Note writes it.
func (o Observed) Note() []byte {
	switch {
	case o.Back:
		return endpointNote(backMark, o.Endpoint)
	case o.NoRoom:
		return endpointNote(noRoomMark, o.Endpoint)
	}
	return limitNote{o.Open, o.Destination, o.Wait, o.Age}.note()
}

// maxNumber bounds the numbers of a note, so that none overflows.
const maxNumber = 1 << 31

func (n limitNote) note() []byte {
	b := []byte{closedMark}
	if n.open {
		b[0] = openMark
	}
	for _, v := range []uint64{uint64(n.dest), uint64(n.wait.Milliseconds()), uint64(n.age.Milliseconds())} {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

// readLimit reads a limitNote; one that is not whole, or has more than it should, says nothing.
func readLimit(note []byte) (l limitNote, ok bool) {
	if len(note) == 0 || note[0] != closedMark && note[0] != openMark {
		return l, false
	}
	var v [3]uint64
	rest := note[1:]
	for i := range v {
		n := 0
		if v[i], n = binary.Uvarint(rest); n <= 0 || v[i] > maxNumber {
			return l, false
		}
		rest = rest[n:]
	}
	return limitNote{note[0] == openMark, int(v[0]), time.Duration(v[1]) * time.Millisecond,
		time.Duration(v[2]) * time.Millisecond}, len(rest) == 0
}

func endpointNote(mark byte, endpoint string) []byte { return append([]byte{mark}, endpoint...) }

// readEndpoint gives the endpoint that a note of a form names, or nothing.
func readEndpoint(mark byte, note []byte) string {
	if len(note) == 0 || note[0] != mark {
		return ""
	}
	return string(note[1:])
}
