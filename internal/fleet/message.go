package fleet

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// A message is one datagram: a header, followed by as many facts as fit. Numbers are sizes in bytes.
//
//	header: magic 1 | version 1 | flags 1 | digest 4, if flagDigest | bucket digests 2 each, if flagBucketDigests
//	fact:   kind 1 | origin, incarnation, seq, value, age in ms, key size: one varint each | key

const (
	// MessageMagic is the first byte of a gossip message. The other kinds of datagrams between relays start with another byte.
	MessageMagic byte = 'F'
	// FormatVersion is the version of the message format. Messages of another version are ignored. Relays work without
	// gossip, so this does no harm during a rolling upgrade.
	FormatVersion = 1
	// MaxMessageSize is the maximum size of a datagram between relays, in bytes.
	MaxMessageSize = 256
	// maxKeySize is the maximum size of a fact's key, in bytes.
	maxKeySize = 64
	// headerSize is the size of magic byte, version and flags, in bytes.
	headerSize = 3
	// digestSize is the size of a digest, in bytes.
	digestSize = 4
	// bucketDigestSize is the size of one bucket's digest, in bytes.
	bucketDigestSize = 2
	// maxAge is the upper bound of the decoded age of a fact. It exceeds all lifetimes, so no usable fact is affected.
	maxAge = time.Hour
)

// Flags of a message.
const (
	flagDigest        byte = 1 << iota // the message contains a digest
	flagAnswer                         // the message answers a digest that differs, and requests the peer's bucket digests
	flagJoin                           // the sender has just started and requests facts
	flagJoinAnswer                     // the message answers a message with flagJoin
	flagBucketDigests                  // the message contains bucket digests
)

// errMalformedMessage is returned for a datagram that is not a complete, valid message of this format version.
var errMalformedMessage = errors.New("malformed gossip message")

// message is a decoded message.
type message struct {
	flags   byte
	digest  uint32
	buckets BucketDigests
	facts   []Fact // ObservedAt holds the negated age; the receiver adds its current time
}

// appendTo appends the encoding of the fact, with the given age, to data.
func (f Fact) appendTo(data []byte, age time.Duration) []byte {
	data = append(data, byte(f.Kind))
	data = binary.AppendUvarint(data, uint64(f.Origin))
	data = binary.AppendUvarint(data, uint64(f.Incarnation))
	data = binary.AppendUvarint(data, uint64(f.Seq))
	data = binary.AppendUvarint(data, f.Value)
	// The age is rounded up, so that a fact does not get younger as relays forward it.
	data = binary.AppendUvarint(data, uint64((max(0, age)+time.Millisecond-1)/time.Millisecond))
	data = binary.AppendUvarint(data, uint64(len(f.Key)))
	return append(data, f.Key...)
}

// encodeMessage returns a message with the given facts, up to the first that does not fit; encoded is the number of facts
// included. The digest is included only if flagDigest is set.
func encodeMessage(flags byte, digest uint32, facts []Fact, now time.Duration) (data []byte, encoded int) {
	return encodeWithBuckets(flags, digest, nil, facts, now)
}

// encodeWithBuckets is like encodeMessage, and also includes the bucket digests and sets flagBucketDigests if buckets is
// not nil.
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

// decodeFact decodes the fact at the start of data, which must not be empty, and returns the bytes that follow it.
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
