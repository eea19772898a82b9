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

// A file consists of a header and records. The numbers of fixed size are little-endian.
//
//	header:  magic 8 | version 1 | kind 1 | base 1 | 0 | number 8 | sequence 8 | number of the previous log 8 |
//	         checksum of its last record 4 | CRC-32C of the preceding bytes 4
//	record:  length of the payload 4 | checksum 4 | payload: operation 1, fields
//
// The checksum of a record is the CRC-32C of the previous record's checksum (of the header's for the first record), its
// length and its payload, so that it covers the file up to there.
const (
	magic = "MSAILEPT"
	// formatVersion is the version of the format that is written and read.
	formatVersion = 1
	// headerSize is the length of a header, in bytes.
	headerSize = 44
	// recordHeaderSize is the length of a record in front of its payload, in bytes.
	recordHeaderSize = 8
	// maxPayloadSize bounds a payload, in bytes. An entry that passed the Reader may grow when it is converted to UTF-8, but
	// by less than this factor.
	maxPayloadSize = 8 * MaxEntrySize
	// versionOffset is where a header holds the version.
	versionOffset = len(magic)
)

// The kinds of files, as they are stored.
const (
	kindSnapshot byte = iota + 1
	kindLog
)

// The operations of records, as they are stored.
const (
	opPut    byte = iota + 1 // adds or replaces an entry
	opDelete                 // removes the entry of a host
	opCommit                 // all changes up to a sequence precede it
	opEnd                    // closes a snapshot, with the number of its entries
)

// The name of a file is a prefix and a number. An unfinished snapshot has a suffix.
const (
	snapshotPrefix   = "snapshot-"
	logPrefix        = "log-"
	unfinishedSuffix = ".new"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors of reading a file; FileError wraps them.
var (
	errNewer   = errors.New("written by a newer version")
	errDamaged = errors.New("damaged")
)

// header begins a file.
type header struct {
	kind     byte
	base     bool   // of a log: it begins with an empty table
	number   uint64 // of the file; the logs with the number of a snapshot or a higher one continue it
	seq      int64  // of a snapshot: it contains all changes up to this sequence
	previous uint64 // of a log: the number of the previous log
	sum      uint32 // of a log: the checksum of the previous log's last record, which detects a gap
}

// encode returns the header as it is stored.
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

// readHeader reads a header and returns its checksum. It returns errNewer or errDamaged.
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

// change is one record of a file.
type change struct {
	operation byte
	entry     Entry // opPut; opDelete sets its Host alone
	number    int64 // opCommit: the sequence; opEnd: the number of entries
}

// appendRecord appends a record whose fields are appended by fill. sum is the previous record's checksum, and is replaced by
// this one's.
func appendRecord(text []byte, sum *uint32, operation byte, fill func([]byte) []byte) []byte {
	start := len(text)
	text = append(text, make([]byte, recordHeaderSize)...)
	text = fill(append(text, operation))
	binary.LittleEndian.PutUint32(text[start:], uint32(len(text)-start-recordHeaderSize))
	*sum = recordSum(*sum, text[start:start+4], text[start+recordHeaderSize:])
	binary.LittleEndian.PutUint32(text[start+4:], *sum)
	return text
}

// recordSum is the checksum of a record that follows one with the checksum before.
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

// parseName returns the kind and the number of the snapshot or log with a name. It reports false for other names.
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

// ours reports whether a file of the directory belongs to the store, which may then remove it.
func ours(name string) bool {
	_, _, ok := parseName(strings.TrimSuffix(name, unfinishedSuffix))
	return ok
}

// corrupt returns errDamaged with a reason.
func corrupt(reason string) error { return fmt.Errorf("%w: %s", errDamaged, reason) }

// headerSum returns the checksum of an encoded header.
func headerSum(text []byte) uint32 { return binary.LittleEndian.Uint32(text[headerSize-4:]) }
