package journal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
)

// readSize is how much is read at once, in bytes.
const readSize = 256 << 10

var markerBytes = binary.LittleEndian.AppendUint32(nil, recordMarker)

// scanner finds the records of a segment. It reads the file in pieces, so that memory holds little more than the record
// at the current offset.
type scanner struct {
	source  io.Reader
	size    int64
	storage []byte
	buf     []byte // the part of storage that was read and not advanced over
	offset  int64  // of buf[0] in the file
	err     error  // of source, but for io.EOF
}

// fill reports whether n bytes follow the offset, and reads them into buf.
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
		if errors.Is(err, io.EOF) { // the file is shorter than it was when it was opened
			s.size = s.offset + int64(len(s.buf))
		} else if err != nil {
			s.err = err
		}
	}
	return len(s.buf) >= needed
}

// advance moves the offset on by n bytes, which fill must have read.
func (s *scanner) advance(n int) {
	s.buf, s.offset = s.buf[n:], s.offset+int64(n)
}

// remaining is how many bytes follow the offset.
func (s *scanner) remaining() int64 { return s.size - s.offset }

// frame returns the record at the offset. It reports false unless the record is complete and its checksum is valid. The
// frame is valid until the next call of a method.
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

// atTornRecord reports whether the file ends within the record at the offset, as an interrupted write leaves it.
func (s *scanner) atTornRecord() bool {
	if !s.fill(recordHeaderSize) {
		return true
	}
	length := binary.LittleEndian.Uint32(s.buf[payloadLengthOffset:])
	plausible := binary.LittleEndian.Uint32(s.buf) == recordMarker && length <= maxPayloadSize
	return plausible && int64(length)+recordHeaderSize > s.remaining()
}

// resync advances to the next valid record with a sequence above a given one, and reports whether there is one.
func (s *scanner) resync(above uint64) bool {
	for s.remaining() >= recordHeaderSize {
		if !s.fill(readSize) && !s.fill(recordHeaderSize) {
			return false
		}
		i := bytes.Index(s.buf[1:], markerBytes)
		if i < 0 { // a marker may begin in the last bytes
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
