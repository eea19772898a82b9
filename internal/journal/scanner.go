package journal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
)

// readSize is the number of bytes that a scanner requests from the file at once.
const readSize = 256 << 10

// markerBytes is recordMarker in its stored byte order.
var markerBytes = binary.LittleEndian.AppendUint32(nil, recordMarker)

// scanner finds the records of a segment. It reads the file in blocks, so that memory holds little more than the record at
// the current offset.
type scanner struct {
	source  io.Reader
	size    int64  // size of the file, in bytes
	storage []byte // backing array of buf
	buf     []byte // bytes that were read from source and not yet consumed by advance
	offset  int64  // offset of buf[0] in the file
	err     error  // first error that source returned, except for io.EOF
}

// fill reads until buf holds at least the needed number of bytes. It reports false if the file ends before that or can't
// be read.
func (s *scanner) fill(needed int) bool {
	for len(s.buf) < needed && s.err == nil {
		if s.offset+int64(len(s.buf)) >= s.size {
			return false
		}
		if cap(s.buf)-len(s.buf) < readSize {
			if len(s.storage) < needed+readSize {
				s.storage = make([]byte, max(2*readSize, needed+readSize))
			}
			s.buf = s.storage[:copy(s.storage, s.buf)]
		}
		got, err := s.source.Read(s.buf[len(s.buf):min(cap(s.buf), len(s.buf)+readSize)])
		s.buf = s.buf[:len(s.buf)+got]
		if errors.Is(err, io.EOF) { // the file has become shorter since it was opened
			s.size = s.offset + int64(len(s.buf))
		} else if err != nil {
			s.err = err
		}
	}
	return len(s.buf) >= needed
}

// advance moves the offset forward by n bytes, which fill must have read before.
func (s *scanner) advance(n int) {
	s.buf, s.offset = s.buf[n:], s.offset+int64(n)
}

// remaining returns the number of bytes from the offset to the end of the file.
func (s *scanner) remaining() int64 { return s.size - s.offset }

// frame returns the record at the offset. It reports false unless the record is complete and its checksum is valid. The
// frame shares its memory with the scanner's buffer: it may be used only until the next call of fill or resync.
func (s *scanner) frame() (frame, bool) {
	if !s.fill(recordHeaderSize) || binary.LittleEndian.Uint32(s.buf) != recordMarker {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(s.buf[payloadLengthOffset:])
	if length > maxPayloadSize || int64(length)+recordHeaderSize > s.remaining() || !s.fill(recordHeaderSize+int(length)) {
		return nil, false
	}
	found := frame(s.buf[:recordHeaderSize+int(length)])
	return found, found.computeChecksum() == found.checksum()
}

// atTornRecord reports whether the file ends within the record at the offset, as it does after an interrupted write.
func (s *scanner) atTornRecord() bool {
	if !s.fill(recordHeaderSize) {
		return true
	}
	length := binary.LittleEndian.Uint32(s.buf[payloadLengthOffset:])
	plausible := binary.LittleEndian.Uint32(s.buf) == recordMarker && length <= maxPayloadSize
	return plausible && int64(length)+recordHeaderSize > s.remaining()
}

// resync advances past the offset to the next valid record whose sequence is greater than above, and reports whether there
// is one.
func (s *scanner) resync(above uint64) bool {
	for s.remaining() >= recordHeaderSize {
		if !s.fill(readSize) && !s.fill(recordHeaderSize) {
			return false
		}
		i := bytes.Index(s.buf[1:], markerBytes)
		if i < 0 { // the last bytes stay, since they may be the beginning of a marker
			s.advance(max(1, len(s.buf)-len(markerBytes)))
			continue
		}
		s.advance(i + 1)
		if found, ok := s.frame(); ok && found.sequence() > above {
			return true
		}
	}
	return false
}
