package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// A segment is a file segment-N: a header, a snapshot of the entries that were live when the segment was begun, closed by
// a record with the snapshot's record count and checksum, and then one record for each change. Integers of fixed size are
// little-endian. The lengths in the layouts below are in bytes.
//
//	header: magic 8 | format 4 | length of the fields 4 | fields | CRC-32C 4
//	fields: segment, first sequence, durability, boot ID, relay, clocks

// ReadableFormats are the storage formats that this program reads.
var ReadableFormats = []int{formatV1, Format}

const (
	// Format is the storage format that this program writes, and the newest that it reads.
	Format = 2
	// formatV1 is the storage format of older programs; v1.go describes it.
	formatV1 = 1

	// magic is the byte sequence at the start of each segment.
	magic = "MSAILJNL"
	// headerFormatOffset is the offset of the format in a segment header, in bytes.
	headerFormatOffset = len(magic)
	// headerLengthOffset is the offset of the length of the fields in a segment header, in bytes.
	headerLengthOffset = headerFormatOffset + 4
	// segmentHeaderSize is the length of the part of a segment header that precedes its fields, in bytes.
	segmentHeaderSize = headerLengthOffset + 4
	// maxSegmentHeaderSize is the largest valid length of the fields of a segment header, in bytes.
	maxSegmentHeaderSize = 4096
	// checksumSize is the length of a CRC-32C, in bytes.
	checksumSize = 4

	// segmentPrefix begins the name of a segment file; the segment's number in decimal follows it.
	segmentPrefix = "segment-"
	// unfinishedSuffix ends the temporary name of a file, which is renamed once its content is complete.
	unfinishedSuffix = ".new"
	// quarantinePrefix begins the name of a file that holds a copy of a damaged range.
	quarantinePrefix = "damaged-"
	// formatV1File is the name of the only file of a journal of format 1.
	formatV1File = "journal"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header is the first part of a segment: its identity and the circumstances in which it was written.
type header struct {
	format            uint32
	segment           uint64
	firstSequence     uint64     // sequence of the segment's first record
	survivesPowerLoss bool       // the segment was written with durability Power
	boot              string     // boot ID of the machine that wrote the segment
	relay             string     // name of the relay that the directory belongs to; empty if it was not set
	clocks            clock.Pair // clock readings at the start of the segment; zero if the writing program stored none
}

// encode returns the header as it is stored.
func (h header) encode() []byte {
	var fields payloadWriter
	fields.uvarint(h.segment)
	fields.uvarint(h.firstSequence)
	fields.boolean(h.survivesPowerLoss)
	fields.str(h.boot)
	fields.str(h.relay)
	fields.varint(int64(h.clocks.At))
	fields.varint(int64(h.clocks.Wall))
	b := append([]byte(magic), make([]byte, segmentHeaderSize-len(magic))...)
	binary.LittleEndian.PutUint32(b[headerFormatOffset:], h.format)
	binary.LittleEndian.PutUint32(b[headerLengthOffset:], uint32(len(fields.buf)))
	b = append(b, fields.buf...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// errMalformedHeader reports that a segment does not begin with a valid header.
var errMalformedHeader = errors.New("malformed segment header")

// NewerError reports that a file has a storage format newer than Format.
type NewerError struct {
	File   string // name of the file, without its directory
	Format uint32 // storage format of the file
}

func (e *NewerError) Error() string {
	return fmt.Sprintf("%s has format %d, and this program reads formats up to %d: "+
		"start the newer program, or let it convert the directory", e.File, e.Format, Format)
}

// readHeader reads the header of the segment with the given file name. It returns errMalformedHeader or a *NewerError.
func (s *scanner) readHeader(name string) (h header, err error) {
	if !s.fill(segmentHeaderSize) || string(s.buf[:len(magic)]) != magic {
		return h, errMalformedHeader
	}
	h.format = binary.LittleEndian.Uint32(s.buf[headerFormatOffset:])
	length := binary.LittleEndian.Uint32(s.buf[headerLengthOffset:])
	if length > maxSegmentHeaderSize || !s.fill(segmentHeaderSize+int(length)+checksumSize) {
		return h, errMalformedHeader
	}
	end := segmentHeaderSize + int(length)
	if crc32.Checksum(s.buf[:end], castagnoli) != binary.LittleEndian.Uint32(s.buf[end:]) {
		return h, errMalformedHeader
	}
	if h.format > Format { // checked after the checksum, so that a flipped bit counts as damage and not as a newer format
		return h, &NewerError{name, h.format}
	}
	fields := payloadReader{unread: s.buf[segmentHeaderSize:end]}
	h.segment, h.firstSequence = fields.uvarint(), fields.uvarint()
	h.survivesPowerLoss = fields.boolean()
	h.boot, h.relay = fields.str(), fields.str()
	if fields.malformed {
		return h, errMalformedHeader
	}
	h.clocks = clock.Pair{At: instant.Time(fields.varint()), Wall: clock.Wall(fields.varint())}
	if fields.malformed { // older programs stored no clock readings
		h.clocks = clock.Pair{}
	}
	s.advance(end + checksumSize)
	return h, nil
}

// parseSegmentFileName returns the number of the segment in a file name. It reports false if name is not that of a segment.
func parseSegmentFileName(name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, segmentPrefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}

// segmentFileName returns the file name of the segment with the given number.
func segmentFileName(number uint64) string { return segmentPrefix + strconv.FormatUint(number, 10) }
