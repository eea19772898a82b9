package fleet

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// A message is one datagram: a header, then as many facts as fit.
//
//	mark 1 | version 1 | flags 1 | digest 4, with flagDigest | bucket digests 2 each, with flagBucketDigests
//	facts: kind 1, origin, incarnation, seq, value, age in ms, key size (varints), key

const (
	// MessageMagic is the first byte of a message. Datagrams of the other formats between relays start with another byte.
	MessageMagic byte = 'F'
	// FormatVersion is the version of the format. Messages of another version are ignored: relays work without gossip
	// during a rolling upgrade.
	FormatVersion = 1
	// MaxMessageSize is the maximum size of a datagram between relays, in bytes.
	MaxMessageSize = 256
	// maxKeySize is the maximum size of a fact's key, in bytes.
	maxKeySize = 64
	// headerSize is the size of mark, version and flags, in bytes.
	headerSize = 3
	// digestSize is the size of a digest, in bytes.
	digestSize = 4
	// bucketDigestSize is the size of one bucket's digest, in bytes.
	bucketDigestSize = 2
	// maxAge is the age that older facts are decoded with. It exceeds all lifetimes.
	maxAge = time.Hour
)

// Flags of a message.
const (
	flagDigest        byte = 1 << iota // a digest follows
	flagAnswer                         // the sender answers a digest that differed, and wants the bucket digests of its peer
	flagJoin                           // the sender has just started and asks for state
	flagJoinAnswer                     // the answer to flagJoin
	flagBucketDigests                  // bucket digests follow
)

// errMalformedMessage says that a datagram is no complete message of this version.
var errMalformedMessage = errors.New("malformed gossip message")

// message is a decoded message.
type message struct {
	flags   byte
	digest  uint32
	buckets BucketDigests
	facts   []Fact // ObservedAt is the negated age: the receiver adds its clock
}

// appendTo appends the encoding of the fact at an age.
func (f Fact) appendTo(data []byte, age time.Duration) []byte {
	data = append(data, byte(f.Kind))
	data = binary.AppendUvarint(data, uint64(f.Origin))
	data = binary.AppendUvarint(data, uint64(f.Incarnation))
	data = binary.AppendUvarint(data, uint64(f.Seq))
	data = binary.AppendUvarint(data, f.Value)
	// Rounded up: no hop makes a fact younger.
	data = binary.AppendUvarint(data, uint64((max(0, age)+time.Millisecond-1)/time.Millisecond))
	data = binary.AppendUvarint(data, uint64(len(f.Key)))
	return append(data, f.Key...)
}

// encodeMessage returns a message with a digest, if flagDigest is set, and the leading facts that fit; encoded is their
// number.
func encodeMessage(flags byte, digest uint32, facts []Fact, now time.Duration) (data []byte, encoded int) {
	return encodeWithBuckets(flags, digest, nil, facts, now)
}

// encodeWithBuckets is encodeMessage with bucket digests, unless they are nil.
func encodeWithBuckets(
	flags byte, digest uint32, buckets *BucketDigests, facts []Fact, now time.Duration,
) (data []byte, encoded int) {
	if buckets != nil {
		flags |= flagBucketDigests
	}
	data = []byte{MessageMagic, FormatVersion, flags}
	if flags&flagDigest != 0 {
		data = binary.LittleEndian.AppendUint32(data, digest)
	}
	if buckets != nil {
		for _, bucket := range buckets {
			data = binary.LittleEndian.AppendUint16(data, bucket)
		}
	}
	for _, fact := range facts {
		extended := fact.appendTo(data, now-fact.ObservedAt)
		if len(extended) > MaxMessageSize {
			break
		}
		data = extended
		encoded++
	}
	return data, encoded
}

// decodeMessage decodes a datagram. The error is errMalformedMessage if it is truncated, of another version, or contains
// values out of range.
func decodeMessage(data []byte) (decoded message, err error) {
	if len(data) < headerSize || len(data) > MaxMessageSize || data[0] != MessageMagic || data[1] != FormatVersion {
		return decoded, errMalformedMessage
	}
	decoded.flags, data = data[2], data[headerSize:]
	if decoded.flags&flagDigest != 0 {
		if len(data) < digestSize {
			return decoded, errMalformedMessage
		}
		decoded.digest, data = binary.LittleEndian.Uint32(data), data[digestSize:]
	}
	if decoded.flags&flagBucketDigests != 0 {
		if len(data) < bucketDigestSize*len(decoded.buckets) {
			return decoded, errMalformedMessage
		}
		for i := range decoded.buckets {
			decoded.buckets[i], data = binary.LittleEndian.Uint16(data), data[bucketDigestSize:]
		}
	}
	for len(data) > 0 {
		var fact Fact
		if fact, data, err = decodeFact(data); err != nil {
			return decoded, err
		}
		decoded.facts = append(decoded.facts, fact)
	}
	return decoded, nil
}

// decodeFact decodes the fact at the start of data, which must not be empty, and returns what follows it.
func decodeFact(data []byte) (fact Fact, remaining []byte, err error) {
	fact.Kind, remaining = Kind(data[0]), data[1:]
	var origin, incarnation, seq, ageMillis, keySize uint64
	for _, field := range []*uint64{&origin, &incarnation, &seq, &fact.Value, &ageMillis, &keySize} {
		value, size := binary.Uvarint(remaining)
		if size <= 0 {
			return fact, remaining, errMalformedMessage
		}
		*field, remaining = value, remaining[size:]
	}
	if fact.Kind == 0 || origin > math.MaxUint16 || incarnation > math.MaxUint32 || seq > math.MaxUint32 {
		return fact, remaining, errMalformedMessage
	}
	if keySize > maxKeySize || keySize > uint64(len(remaining)) {
		return fact, remaining, errMalformedMessage
	}
	fact.Origin, fact.Incarnation, fact.Seq = uint16(origin), uint32(incarnation), uint32(seq)
	fact.ObservedAt = -time.Duration(min(ageMillis, uint64(maxAge/time.Millisecond))) * time.Millisecond
	fact.Key, remaining = string(remaining[:keySize]), remaining[keySize:]
	return fact, remaining, nil
}
