package policy

import (
	"encoding/binary"
	"time"
)

// The first byte of a gossip message is its type. The letters are the wire format.
const (
	circuitOpenType       = 'c' // a destination has rejected a call
	circuitClosedType     = 'o' // a destination has accepted a call
	endpointRecoveredType = 'b' // an ejected endpoint answers again
	connectErrorType      = 'n' // an endpoint has not accepted a connection
	canarySuccessType     = 'g' // a call to a canary has succeeded
	canaryFailureType     = 'w' // a call to a canary has failed
)

// maxGossipNumber bounds the numbers of a gossip message, so that none overflows.
const maxGossipNumber = 1 << 31

// limitMessage is what relays tell each other of a destination's limit: it refused a call that was sent an
// age ago, for a wait, or for none that was told; or it took one, so that it is open.
type limitMessage struct {
	accepted    bool
	destination int
	retryAfter  time.Duration
	callAge     time.Duration
}

// canaryMessage is what relays tell each other of an endpoint on trial: how a message of a class fared there.
// Its number, drawn, tells it from a copy of itself.
type canaryMessage struct {
	endpoint string
	class    int
	failed   bool
	number   uint64
}

func (n canaryMessage) encode() []byte {
	b := []byte{canarySuccessType}
	if n.failed {
		b[0] = canaryFailureType
	}
	return append(binary.AppendUvarint(binary.AppendUvarint(b, uint64(n.class)), n.number), n.endpoint...)
}

// decodeCanaryMessage reads a trialNote; one that is not whole says nothing.
func decodeCanaryMessage(note []byte) (n canaryMessage, ok bool) {
	if len(note) == 0 || note[0] != canarySuccessType && note[0] != canaryFailureType {
		return n, false
	}
	class, l := binary.Uvarint(note[1:])
	if l <= 0 || class > maxGossipNumber {
		return n, false
	}
	no, k := binary.Uvarint(note[1+l:])
	if k <= 0 || no > maxGossipNumber {
		return n, false
	}
	return canaryMessage{string(note[1+l+k:]), int(class), note[0] == canaryFailureType, no}, true
}

// Observed is what a note of Tell and Heard says: that a destination has refused a call that was sent an age
// ago, for a wait or for none that was told, or has taken one; or that an endpoint is back, or has taken no
// connection.
type Observed struct {
	Closed, Open, Back, NoRoom bool // one of them
	Destination                int
	Endpoint                   string
	Wait, Age                  time.Duration
}

// ReadNote reads a note; one that is not whole says nothing.
func ReadNote(note []byte) (o Observed, ok bool) {
	if l, ok := decodeLimitMessage(note); ok {
		return Observed{Closed: !l.accepted, Open: l.accepted, Destination: l.destination, Wait: l.retryAfter, Age: l.callAge}, true
	}
	if o.Endpoint = decodeEndpointMessage(endpointRecoveredType, note); o.Endpoint != "" {
		o.Back = true
	} else if o.Endpoint = decodeEndpointMessage(connectErrorType, note); o.Endpoint != "" {
		o.NoRoom = true
	}
	return o, o.Back || o.NoRoom
}

// Note writes it.
func (o Observed) Note() []byte {
	switch {
	case o.Back:
		return encodeEndpointMessage(endpointRecoveredType, o.Endpoint)
	case o.NoRoom:
		return encodeEndpointMessage(connectErrorType, o.Endpoint)
	}
	return limitMessage{o.Open, o.Destination, o.Wait, o.Age}.encode()
}

func (n limitMessage) encode() []byte {
	b := []byte{circuitOpenType}
	if n.accepted {
		b[0] = circuitClosedType
	}
	for _, v := range []uint64{uint64(n.destination), uint64(n.retryAfter.Milliseconds()), uint64(n.callAge.Milliseconds())} {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

// decodeLimitMessage reads a limitNote; one that is not whole, or has more than it should, says nothing.
func decodeLimitMessage(note []byte) (l limitMessage, ok bool) {
	if len(note) == 0 || note[0] != circuitOpenType && note[0] != circuitClosedType {
		return l, false
	}
	var v [3]uint64
	rest := note[1:]
	for i := range v {
		n := 0
		if v[i], n = binary.Uvarint(rest); n <= 0 || v[i] > maxGossipNumber {
			return l, false
		}
		rest = rest[n:]
	}
	return limitMessage{note[0] == circuitClosedType, int(v[0]), time.Duration(v[1]) * time.Millisecond,
		time.Duration(v[2]) * time.Millisecond}, len(rest) == 0
}

func encodeEndpointMessage(mark byte, endpoint string) []byte {
	return append([]byte{mark}, endpoint...)
}

// decodeEndpointMessage gives the endpoint that a note of a form names, or nothing.
func decodeEndpointMessage(mark byte, note []byte) string {
	if len(note) == 0 || note[0] != mark {
		return ""
	}
	return string(note[1:])
}
