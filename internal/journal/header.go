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
// a record with the snapshot's record count and checksum, and then one record for each change. The numbers of fixed
// size are little-endian.
//
//	header: magic 8 | format 4 | length of the fields 4 | fields | CRC-32C 4
//	fields: segment, first sequence, durability, boot ID, relay, clocks

// ReadableFormats are the storage formats that this program reads.
var ReadableFormats = []int{formatV1, Format}

const (
	// Format is the storage format that this program writes, and the newest one that it reads.
	Format = 2
	// formatV1 is the previous storage format; see v1.go.
	formatV1 = 1

	// magic begins each segment.
	magic = "MSAILJNL"
	// headerFormatOffset is where a segment header holds the format.
	headerFormatOffset = len(magic)
	// headerLengthOffset is where a segment header holds the length of its fields.
	headerLengthOffset = headerFormatOffset + 4
	// segmentHeaderSize is the length of a segment header in front of its fields, in bytes.
	segmentHeaderSize = headerLengthOffset + 4
	// maxSegmentHeaderSize bounds the fields of a segment header, in bytes.
	maxSegmentHeaderSize = 4096
	// checksumSize is the length of a CRC-32C, in bytes.
	checksumSize = 4

	// segmentPrefix and the segment's number are the name of a segment file.
	segmentPrefix = "segment-"
	// unfinishedSuffix ends the name of a file until its content is written.
	unfinishedSuffix = ".new"
	// quarantinePrefix begins the name of a file that holds a damaged range.
	quarantinePrefix = "damaged-"
	// formatV1File is the name of a journal of format 1.
	formatV1File = "journal"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header begins a segment.
type header struct {
	format            uint32
	segment           uint64
	firstSequence     uint64 // sequence of the segment's first record
	survivesPowerLoss bool   // durability
	boot              string
	relay             string
	clocks            clock.Pair // readings when the segment was begun; zero if the program that wrote it stored none
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

// errMalformedHeader says that a segment does not begin with a valid header.
var errMalformedHeader = errors.New("malformed segment header")

// NewerError says that a newer program than this one wrote a file.
type NewerError struct {
	File   string
	Format uint32
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
	if h.format > Format { // behind the checksum: a flipped bit is damage and not a newer format
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
	if fields.malformed { // older programs stored no clocks
		h.clocks = clock.Pair{}
	}
	s.advance(end + checksumSize)
	return h, nil
}

// parseSegmentFileName returns the number of the segment file with a name. It reports false for other names.
func parseSegmentFileName(name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, segmentPrefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}

// segmentFileName returns the name of the segment file with a number.
func segmentFileName(number uint64) string { return segmentPrefix + strconv.FormatUint(number, 10) }
