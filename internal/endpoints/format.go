package endpoints

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math"
	"strconv"
	"strings"
)

// A snapshot or log file consists of a header followed by records. Fixed-size numbers are little-endian; sizes are in bytes.
//
//	header:  magic 8 | version 1 | kind 1 | base 1 | zero 1 | number 8 | sequence 8 | number of the previous log 8 |
//	         checksum of the last record of the previous log 4 | CRC-32C of the preceding bytes 4
//	record:  payload length 4 | checksum 4 | payload: operation 1, fields
//
// The checksum of a record is the CRC-32C of the previous record's checksum (the header's checksum for the first record), the
// payload length and the payload. It thus covers the file from its beginning up to this record.
const (
	magic = "MSAILEPT"
	// formatVersion is the format version that this package writes. Files with a higher version are not read.
	formatVersion = 1
	// headerSize is the length of a header, in bytes.
	headerSize = 44
	// recordHeaderSize is the size of the payload length and the checksum that precede a payload, in bytes.
	recordHeaderSize = 8
	// maxPayloadSize is the maximum size of a payload, in bytes. An entry of MaxEntrySize may grow when the Reader converts it
	// to valid UTF-8, but by less than a factor of 8.
	maxPayloadSize = 8 * MaxEntrySize
	// versionOffset is the offset of the format version in a header, in bytes.
	versionOffset = len(magic)
)

// The file kinds, as stored in a header.
const (
	kindSnapshot byte = iota + 1
	kindLog
)

// The operations of records, as stored in a payload.
const (
	opPut    byte = iota + 1 // adds an entry, or replaces the entry of the same host
	opDelete                 // deletes the entry of a host
	opCommit                 // states that all changes up to a sequence precede this record
	opEnd                    // ends a snapshot and holds the number of its entries
)

// A file name is a prefix followed by a number. A snapshot that is not published yet also has unfinishedSuffix.
const (
	snapshotPrefix   = "snapshot-"
	logPrefix        = "log-"
	unfinishedSuffix = ".new"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors of reading a file. Open reports errDamaged wrapped in a FileError, and only counts files with errNewer.
var (
	errNewer   = errors.New("written in a newer format version")
	errDamaged = errors.New("damaged")
)

// header is the decoded header of a snapshot or log file.
type header struct {
	kind     byte   // kindSnapshot or kindLog
	base     bool   // logs only: the log starts from an empty table and continues no other file
	number   uint64 // number of the file; logs with the number of a snapshot or a higher one continue that snapshot
	seq      int64  // snapshots only: the snapshot contains all changes up to this sequence
	previous uint64 // logs only: number of the previous log; 0 if there is none
	sum      uint32 // logs only: checksum of the last record of the previous log, with which a replay detects missing records
}

// encode returns the stored form of the header, including its checksum.
func (h header) encode() []byte {
	text := append([]byte(magic), formatVersion, h.kind, 0, 0)
	if h.base {
		text[versionOffset+2] = 1
	}
	text = binary.LittleEndian.AppendUint64(text, h.number)
	text = binary.LittleEndian.AppendUint64(text, uint64(h.seq))
	text = binary.LittleEndian.AppendUint64(text, h.previous)
	text = binary.LittleEndian.AppendUint32(text, h.sum)
	return binary.LittleEndian.AppendUint32(text, crc32.Checksum(text, castagnoli))
}

// readHeader reads a header and returns it with its checksum. The error is errNewer for a higher format version, and errDamaged
// for a truncated or corrupt header.
func readHeader(r io.Reader) (h header, sum uint32, err error) {
	var text [headerSize]byte
	n, err := io.ReadFull(r, text[:])
	if n > versionOffset && string(text[:len(magic)]) == magic && text[versionOffset] > formatVersion {
		return h, 0, errNewer
	}
	if err != nil {
		return h, 0, errDamaged
	}
	sum = binary.LittleEndian.Uint32(text[headerSize-4:])
	if string(text[:len(magic)]) != magic || sum != crc32.Checksum(text[:headerSize-4], castagnoli) {
		return h, 0, errDamaged
	}
	h = header{
		kind:     text[versionOffset+1],
		base:     text[versionOffset+2] == 1,
		number:   binary.LittleEndian.Uint64(text[12:]),
		seq:      int64(binary.LittleEndian.Uint64(text[20:])),
		previous: binary.LittleEndian.Uint64(text[28:]),
		sum:      binary.LittleEndian.Uint32(text[36:]),
	}
	return h, sum, nil
}

// change is the decoded payload of a record.
type change struct {
	operation byte
	entry     Entry // set for opPut; for opDelete only its Host is set
	number    int64 // the sequence for opCommit, the number of entries for opEnd
}

// appendRecord appends a record to text; fill appends the fields of its payload. On entry, *sum is the checksum of the previous
// record; on return, it is the checksum of the new record.
func appendRecord(text []byte, sum *uint32, operation byte, fill func([]byte) []byte) []byte {
	start := len(text)
	text = append(text, make([]byte, recordHeaderSize)...)
	text = fill(append(text, operation))
	binary.LittleEndian.PutUint32(text[start:], uint32(len(text)-start-recordHeaderSize))
	*sum = recordSum(*sum, text[start:start+4], text[start+recordHeaderSize:])
	binary.LittleEndian.PutUint32(text[start+4:], *sum)
	return text
}

// recordSum returns the checksum of a record from the checksum of the previous record, the encoded payload length and the
// payload.
func recordSum(before uint32, length, payload []byte) uint32 {
	var text [4]byte
	binary.LittleEndian.PutUint32(text[:], before)
	sum := crc32.Checksum(text[:], castagnoli)
	sum = crc32.Update(sum, castagnoli, length)
	return crc32.Update(sum, castagnoli, payload)
}

// appendPut appends an opPut record.
func appendPut(text []byte, sum *uint32, e Entry) []byte {
	return appendRecord(text, sum, opPut, func(b []byte) []byte {
		for _, field := range []string{e.Host, e.Dial, e.Site, e.Class, e.Health} {
			b = appendText(b, field)
		}
		b = binary.AppendVarint(b, int64(e.Block))
		b = binary.LittleEndian.AppendUint64(b, math.Float64bits(e.Share))
		return binary.AppendVarint(b, e.BornMS)
	})
}

// appendDelete appends an opDelete record.
func appendDelete(text []byte, sum *uint32, host string) []byte {
	return appendRecord(text, sum, opDelete, func(b []byte) []byte { return appendText(b, host) })
}

// appendNumber appends an opCommit or opEnd record.
func appendNumber(text []byte, sum *uint32, operation byte, number int64) []byte {
	return appendRecord(text, sum, operation, func(b []byte) []byte { return binary.AppendVarint(b, number) })
}

func appendText(b []byte, text string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

// fileName returns the name of a file.
func fileName(prefix string, number uint64) string { return prefix + strconv.FormatUint(number, 10) }

// parseName returns the kind and the number of the snapshot or log with the given file name. ok is false for other names.
func parseName(name string) (kind byte, number uint64, ok bool) {
	for prefix, kind := range map[string]byte{snapshotPrefix: kindSnapshot, logPrefix: kindLog} {
		digits, found := strings.CutPrefix(name, prefix)
		number, err := strconv.ParseUint(digits, 10, 64)
		if found && err == nil && fileName(prefix, number) == name {
			return kind, number, true
		}
	}
	return 0, 0, false
}

// isStoreFile reports whether a file name is that of a snapshot, an unfinished snapshot or a log. The store removes only such
// files.
func isStoreFile(name string) bool {
	_, _, ok := parseName(strings.TrimSuffix(name, unfinishedSuffix))
	return ok
}

// corrupt returns an error that wraps errDamaged and states the reason.
func corrupt(reason string) error { return fmt.Errorf("%w: %s", errDamaged, reason) }

// headerSum returns the checksum that an encoded header ends with.
func headerSum(text []byte) uint32 { return binary.LittleEndian.Uint32(text[headerSize-4:]) }
