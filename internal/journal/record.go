package journal

import (
	"encoding/binary"
	"hash/crc32"
	"strconv"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// A record is stored in a frame of this layout. Its integers are little-endian, and lengths are in bytes.
//
//	frame: marker 4 | length of the payload 4 | sequence 8 | digest of the previous record 4 | CRC-32C 4 | payload
//
// The marker lets a reader find the next record after a damaged range, and the sequence shows how many records are missing
// in between. The digest holds a record's operation and the low 24 bits of its entry's sequence. Each frame repeats the
// digest of its predecessor, which identifies that record if it can't be read.

const (
	// recordMarker is the first field of each frame.
	recordMarker uint32 = 0xa55e_c0de
	// payloadLengthOffset is the offset of the payload's length in a frame, in bytes.
	payloadLengthOffset = 4
	// sequenceOffset is the offset of the record's sequence in a frame, in bytes.
	sequenceOffset = 8
	// previousDigestOffset is the offset of the previous record's digest in a frame, in bytes.
	previousDigestOffset = 16
	// checksumOffset is the offset of the checksum in a frame, in bytes.
	checksumOffset = 20
	// recordHeaderSize is the length of the part of a frame that precedes the payload, in bytes.
	recordHeaderSize = 24
	// maxPayloadSize is the largest length of a payload, in bytes. The largest payloads are an entry with a body of 64 KiB
	// and a long endpoint list.
	maxPayloadSize = 16 << 20
	// digestOpShift is the position of the lowest bit of the operation in a digest.
	digestOpShift = 24
	// digestSeqMask selects the bits of an entry's sequence that a digest holds.
	digestSeqMask = 1<<digestOpShift - 1
)

// op is the operation that a record describes. Its values are stored, so they must not change.
type op byte

const (
	opAccepted            op = iota + 1 // a relay accepted a request
	opAttemptStarted                    // an attempt of the entry started
	opAttemptEnded                      // the entry's last attempt ended
	opNotificationPending               // the request ended undelivered, and the platform has to acknowledge a notification
	opCompleted                         // the request is finished, and its entry is removed
	opHealth                            // the health of an endpoint changed
	opLegacyList                        // an endpoint list, which only older programs store
	opSnapshotEntry                     // a live entry of a snapshot, with its attempts
	opSnapshotEnd                       // the end of a snapshot, with its record count and checksum
)

// opNames holds the names that logs and command-line tools print for the operation of the last missing record of a damaged
// range. Scripts may match them, so they stay.
var opNames = [...]string{"", "taken", "begun", "ended", "owed", "over", "health", "list", "kept", "snapshot"}

func (o op) String() string {
	if int(o) < len(opNames) {
		return opNames[o]
	}
	return "operation " + strconv.Itoa(int(o))
}

// record is one change of the state. Which fields are set depends on the operation; each field's comment names the
// operations that use it.
type record struct {
	op               op
	entrySeq         uint64             // all operations on an entry: sequence of the record that accepted it
	entry            *Entry             // opAccepted, opSnapshotEntry
	host             string             // opAttemptStarted, opHealth: name of the endpoint
	at               instant.Time       // opAttemptStarted: start of the attempt; opHealth: time of the change
	notExecuted      bool               // opAttemptEnded: the endpoint provably did not execute the request
	ejected          bool               // opHealth
	notification     Notification       // opNotificationPending
	legacyList       LegacyEndpointList // opLegacyList
	snapshotRecords  uint64             // opSnapshotEnd: number of records in the snapshot
	snapshotChecksum uint32             // opSnapshotEnd: the records' checksums, combined by addChecksum
}

// digest returns the digest that the frame of the next record holds to identify this record.
func (r *record) digest() uint32 {
	return uint32(r.op)<<digestOpShift | uint32(r.entrySeq)&digestSeqMask
}

// appendFramed appends the frame of a record to b. It returns the extended slice and the frame's checksum.
func appendFramed(b []byte, r *record, sequence uint64, previousDigest uint32, clocks clock.Pair) ([]byte, uint32) {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, recordMarker)
	b = append(b, 0, 0, 0, 0) // length, set below
	b = binary.LittleEndian.AppendUint64(b, sequence)
	b = binary.LittleEndian.AppendUint32(b, previousDigest)
	b = append(b, 0, 0, 0, 0) // checksum, set below
	b = r.appendPayload(b, clocks)
	binary.LittleEndian.PutUint32(b[start+payloadLengthOffset:], uint32(len(b)-start-recordHeaderSize))
	checksum := frame(b[start:]).computeChecksum()
	binary.LittleEndian.PutUint32(b[start+checksumOffset:], checksum)
	return b, checksum
}

// frame is a stored record, from its marker to the end of its payload.
type frame []byte

func (f frame) sequence() uint64 { return binary.LittleEndian.Uint64(f[sequenceOffset:]) }

func (f frame) previousDigest() uint32 { return binary.LittleEndian.Uint32(f[previousDigestOffset:]) }

func (f frame) checksum() uint32 { return binary.LittleEndian.Uint32(f[checksumOffset:]) }

func (f frame) payload() []byte { return f[recordHeaderSize:] }

// computeChecksum returns the CRC-32C of the frame without its checksum field.
func (f frame) computeChecksum() uint32 {
	return crc32.Update(crc32.Checksum(f[:checksumOffset], castagnoli), castagnoli, f[recordHeaderSize:])
}

// addChecksum returns the combined checksum of a snapshot after one more record, whose checksum is next.
func addChecksum(sum, next uint32) uint32 { return sum*31 + next }
