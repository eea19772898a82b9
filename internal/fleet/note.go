package fleet

import (
	"encoding/binary"
	"math"
	"time"
)

// A note is one datagram: mark, version, what follows, and then as many facts as fit.
//
//	mark 1 | version 1 | flags 1 | digest 4, with hasDigest | sums 2 each, with hasSums | facts: kind 1, origin, incarnation, seq, value, age in ms, key

const (
	// MessageMark is the first byte of a note; notes of other forms that relays send one another begin with another one.
	MessageMark byte = 'F'
	// FormatVersion is that of the form. A note of another version says nothing: in a rolling upgrade both do without.
	FormatVersion = 1
	// MaxMessageSize is the longest datagram that a relay may send.
	MaxMessageSize = 256
	// maxKey bounds a key: an endpoint's name or a number.
	maxKey = 64
)

const (
	hasDigest  byte = 1 << iota
	isAnswer        // to a digest that differed: it asks for none again
	isNewcomer      // its sender has just started and asks for what others know
	isBrief         // the answer to that
	hasSums         // sums of the buckets follow
)

// message is a note as it is read.
type message struct {
	flags  byte
	digest uint32
	sums   BucketDigests
	facts  []Fact // Seen is the age below zero: the reader adds its clock
}

// append adds a fact to b, as old as it is at a moment.
func (f Fact) append(b []byte, age time.Duration) []byte {
	b = append(b, byte(f.Kind))
	b = binary.AppendUvarint(b, uint64(f.Origin))
	b = binary.AppendUvarint(b, uint64(f.Incarnation))
	b = binary.AppendUvarint(b, uint64(f.Seq))
	b = binary.AppendUvarint(b, f.Value)
	// Rounded up: no hop makes a fact younger.
	b = binary.AppendUvarint(b, uint64((max(0, age)+time.Millisecond-1)/time.Millisecond))
	b = binary.AppendUvarint(b, uint64(len(f.Key)))
	return append(b, f.Key...)
}

// pack gives a note with a digest, if there is one, and the facts from the front that fit; n is how many.
func pack(flags byte, digest uint32, facts []Fact, now time.Duration) (note []byte, n int) {
	return packSums(flags, digest, nil, facts, now)
}

// packSums is pack with sums of each bucket, if there are any.
func packSums(flags byte, digest uint32, sums *BucketDigests, facts []Fact, now time.Duration) (note []byte, n int) {
	if sums != nil {
		flags |= hasSums
	}
	note = []byte{MessageMark, FormatVersion, flags}
	if flags&hasDigest != 0 {
		note = binary.LittleEndian.AppendUint32(note, digest)
	}
	if sums != nil {
		for _, v := range sums {
			note = binary.LittleEndian.AppendUint16(note, v)
		}
	}
	for _, f := range facts {
		longer := f.append(note, now-f.ObservedAt)
		if len(longer) > MaxMessageSize {
			break
		}
		note = longer
		n++
	}
	return note, n
}

// parse reads a note; one that is not whole, of another version, or with numbers that make no sense says nothing.
func parse(note []byte) (m message, ok bool) {
	if len(note) < 3 || len(note) > MaxMessageSize || note[0] != MessageMark || note[1] != FormatVersion {
		return m, false
	}
	m.flags, note = note[2], note[3:]
	if m.flags&hasDigest != 0 {
		if len(note) < 4 {
			return m, false
		}
		m.digest, note = binary.LittleEndian.Uint32(note), note[4:]
	}
	if m.flags&hasSums != 0 {
		if len(note) < 2*len(m.sums) {
			return m, false
		}
		for i := range m.sums {
			m.sums[i], note = binary.LittleEndian.Uint16(note), note[2:]
		}
	}
	for len(note) > 0 {
		f := Fact{FactID: FactID{Kind: Kind(note[0])}}
		note = note[1:]
		var v [6]uint64
		for i := range v {
			n := 0
			if v[i], n = binary.Uvarint(note); n <= 0 {
				return m, false
			}
			note = note[n:]
		}
		if f.Kind == 0 || v[0] > math.MaxUint16 || v[1] > math.MaxUint32 || v[2] > math.MaxUint32 || v[5] > maxKey || v[5] > uint64(len(note)) {
			return m, false
		}
		f.Origin, f.Incarnation, f.Seq, f.Value = uint16(v[0]), uint32(v[1]), uint32(v[2]), v[3]
		f.ObservedAt = -time.Duration(min(v[4], uint64(time.Hour/time.Millisecond))) * time.Millisecond
		f.Key, note = string(note[:v[5]]), note[v[5]:]
		m.facts = append(m.facts, f)
	}
	return m, true
}
