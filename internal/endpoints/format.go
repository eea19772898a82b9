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

// A file is a header and a run of records. All numbers of fixed size are little-endian.
//
//	header:  magic 8 | version 1 | kind 1 | base 1 | 0 | number 8 | sequence 8 | number of the log before 8 |
//	         checksum at its end 4 | CRC-32C of what is before 4
//	record:  length of the payload 4 | checksum 4 | payload: operation 1, fields
//
// The checksum of a record is the CRC-32C of the checksum before it (that of the header for the first one), its length
// and its payload, so that it covers all of the file up to there.
const (
	magic = "MSAILEPT"
	// formatVersion is the version of the format that is written and read.
	formatVersion    = 1
	headerSize       = 44
	recordHeaderSize = 8
	// maxPayloadSize bounds a record: an entry that the Reader has let pass can grow in UTF-8, but not that much.
	maxPayloadSize = 8 * MaxEntrySize
	// versionOffset is the place of the version in a header.
	versionOffset = len(magic)
)

// The kinds of files.
const (
	kindSnapshot byte = iota + 1
	kindLog
)

// The operations of records.
const (
	opPut    byte = iota + 1 // an entry
	opDelete                 // a host
	opCommit                 // the sequence up to which all entries are there
	opEnd                    // closes a snapshot: the number of its entries
)

// The names of files are a prefix and a number. A snapshot in the making has a suffix.
const (
	snapshotPrefix   = "snapshot-"
	logPrefix        = "log-"
	unfinishedSuffix = ".new"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors of reading a file.
var (
	errNewer   = errors.New("written by a newer version")
	errDamaged = errors.New("damaged")
)

// header begins a file.
type header struct {
	kind     byte
	base     bool   // of a log: there was nothing before it
	number   uint64 // of the file; the logs from a snapshot's number on continue it
	seq      int64  // of a snapshot: all entries up to it are there
	previous uint64 // of a log: the number of the log before
	sum      uint32 // of a log: the checksum at the end of the log before, so that a gap is noticed
}

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

// readHeader reads a header, and gives its checksum.
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
	entry     Entry // put; its Host alone: delete
	number    int64 // commit: the sequence; end: the number of entries
}

// appendRecord appends a record whose payload is made by fill, and moves the checksum on.
func appendRecord(text []byte, sum *uint32, operation byte, fill func([]byte) []byte) []byte {
	start := len(text)
	text = append(text, make([]byte, recordHeaderSize)...)
	text = fill(append(text, operation))
	binary.LittleEndian.PutUint32(text[start:], uint32(len(text)-start-recordHeaderSize))
	*sum = recordSum(*sum, text[start:start+4], text[start+recordHeaderSize:])
	binary.LittleEndian.PutUint32(text[start+4:], *sum)
	return text
}

// recordSum is the checksum of a record behind another.
func recordSum(before uint32, length, payload []byte) uint32 {
	var text [4]byte
	binary.LittleEndian.PutUint32(text[:], before)
	sum := crc32.Checksum(text[:], castagnoli)
	sum = crc32.Update(sum, castagnoli, length)
	return crc32.Update(sum, castagnoli, payload)
}

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

func appendDelete(text []byte, sum *uint32, host string) []byte {
	return appendRecord(text, sum, opDelete, func(b []byte) []byte { return appendText(b, host) })
}

func appendNumber(text []byte, sum *uint32, operation byte, number int64) []byte {
	return appendRecord(text, sum, operation, func(b []byte) []byte { return binary.AppendVarint(b, number) })
}

func appendText(b []byte, text string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

// fileName gives the name of a file.
func fileName(prefix string, number uint64) string { return prefix + strconv.FormatUint(number, 10) }

// parseName gives the kind and the number that are in the name of a file of ours.
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

// ours tells whether a file of the folder is one that a store may remove.
func ours(name string) bool {
	_, _, ok := parseName(strings.TrimSuffix(name, unfinishedSuffix))
	return ok
}

// corrupt is a damaged file with the reason.
func corrupt(reason string) error { return fmt.Errorf("%w: %s", errDamaged, reason) }

// headerSum gives the checksum of an encoded header.
func headerSum(text []byte) uint32 { return binary.LittleEndian.Uint32(text[headerSize-4:]) }
