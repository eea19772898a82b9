package journal

import (
	"encoding/binary"
	"hash/crc32"
	"strconv"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// A record is framed as follows; the numbers are little-endian.
//
//	frame: marker 4 | length of the payload 4 | sequence 8 | digest of the previous record 4 | CRC-32C 4 | payload
//
// The marker allows a reader to find the next record behind a damaged range, and the sequence tells how many are
// missing in between. The digest (operation, and the low 24 bits of the entry's sequence) identifies a single missing
// record by its successor.

const (
	// recordMarker begins each record.
	recordMarker uint32 = 0xa55e_c0de
	// payloadLengthOffset is where a frame holds the length of its payload.
	payloadLengthOffset = 4
	// sequenceOffset is where a frame holds the record's sequence.
	sequenceOffset = 8
	// previousDigestOffset is where a frame holds the digest of the previous record.
	previousDigestOffset = 16
	// checksumOffset is where a frame holds its checksum.
	checksumOffset = 20
	// recordHeaderSize is the length of a frame in front of its payload, in bytes.
	recordHeaderSize = 24
	// maxPayloadSize bounds a payload, in bytes: a body of 64 KiB with names, or a long endpoint list.
	maxPayloadSize = 16 << 20
	// digestOpShift is where a digest holds the operation.
	digestOpShift = 24
	// digestSeqMask selects the bits of an entry's sequence that a digest holds.
	digestSeqMask = 1<<digestOpShift - 1
)

// op is the kind of a record. Its values are stored.
type op byte

const (
	opAccepted            op = iota + 1 // a request was accepted
	opAttemptStarted                    // an attempt started
	opAttemptEnded                      // the last attempt ended
	opNotificationPending               // the request failed, and the platform has to be notified
	opCompleted                         // nothing is pending for the request
	opHealth                            // the health of an endpoint
	opLegacyList                        // the endpoint list, as older programs stored it
	opSnapshotEntry                     // a live entry, in a snapshot
	opSnapshotEnd                       // the end of a snapshot
)

// opNames are printed by the tools, as the last record of a damaged range: scripts may match them, so they stay.
var opNames = [...]string{"", "taken", "begun", "ended", "owed", "over", "health", "list", "kept", "snapshot"}

func (o op) String() string {
	if int(o) < len(opNames) {
		return opNames[o]
	}
	return "operation " + strconv.Itoa(int(o))
}

// record is one change of the state. Which fields are set depends on the operation.
type record struct {
	op               op
	entrySeq         uint64 // sequence of the record that accepted the entry
	entry            *Entry // opAccepted, opSnapshotEntry
	host             string // opAttemptStarted, opHealth
	at               instant.Time
	notExecuted      bool         // opAttemptEnded
	ejected          bool         // opHealth
	notification     Notification // opNotificationPending
	list             LegacyEndpointList
	snapshotRecords  uint64 // opSnapshotEnd: number of records in the snapshot
	snapshotChecksum uint32 // opSnapshotEnd: the records' checksums, combined by addChecksum
}

// digest identifies the record in the frame of its successor.
func (r *record) digest() uint32 {
	return uint32(r.op)<<digestOpShift | uint32(r.entrySeq)&digestSeqMask
}

// appendFramed appends a record with its frame to b. It returns the record's checksum as well.
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

// computeChecksum is the CRC-32C of all of the frame but the checksum itself.
func (f frame) computeChecksum() uint32 {
	return crc32.Update(crc32.Checksum(f[:checksumOffset], castagnoli), castagnoli, f[recordHeaderSize:])
}

// addChecksum adds a record's checksum to the combined checksum of a snapshot.
func addChecksum(sum, next uint32) uint32 { return sum*31 + next }
