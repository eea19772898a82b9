package endpoints

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"math"
)

// readBufferSize is the size of the read buffer of a recordReader, in bytes.
const readBufferSize = 256 << 10

// recordReader reads the records of a file up to the first truncated or corrupt record.
type recordReader struct {
	source   *bufio.Reader
	checksum uint32 // checksum of the last valid record, or of the header before the first one
	payload  []byte // buffer for the payload of a record, reused by each call of next
}

func newRecordReader(r io.Reader) (*recordReader, header, error) {
	from := bufio.NewReaderSize(r, readBufferSize)
	h, sum, err := readHeader(from)
	return &recordReader{source: from, checksum: sum}, h, err
}

// next returns the next record. The error is io.EOF after the last record, and wraps errDamaged if the record is truncated or
// corrupt.
func (r *recordReader) next() (change, error) {
	var head [recordHeaderSize]byte
	n, err := io.ReadFull(r.source, head[:])
	if n == 0 && errors.Is(err, io.EOF) {
		return change{}, io.EOF
	}
	if err != nil {
		return change{}, corrupt("truncated record")
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size == 0 || size > maxPayloadSize {
		return change{}, corrupt("record has an invalid length")
	}
	if cap(r.payload) < int(size) {
		r.payload = make([]byte, size)
	}
	r.payload = r.payload[:size]
	if _, err := io.ReadFull(r.source, r.payload); err != nil {
		return change{}, corrupt("truncated record")
	}
	sum := recordSum(r.checksum, head[:4], r.payload)
	if sum != binary.LittleEndian.Uint32(head[4:]) {
		return change{}, corrupt("record has a wrong checksum")
	}
	c, ok := decodeChange(r.payload)
	if !ok {
		return change{}, corrupt("record has malformed fields")
	}
	r.checksum = sum
	return c, nil
}

// decodeChange decodes a payload of at least one byte. ok is false if the payload is malformed.
func decodeChange(payload []byte) (c change, ok bool) {
	in := payloadReader{unread: payload[1:]}
	c.operation = payload[0]
	switch c.operation {
	case opPut:
		e := &c.entry
		for _, field := range []*string{&e.Host, &e.Dial, &e.Site, &e.Class, &e.Health} {
			*field = in.str()
		}
		e.Block = int(in.varint())
		e.Share = in.float()
		e.BornMS = in.varint()
	case opDelete:
		c.entry.Host = in.str()
	case opCommit, opEnd:
		c.number = in.varint()
	default:
		return c, false
	}
	return c, !in.malformed && len(in.unread) == 0
}

// payloadReader decodes the fields of a payload. Its methods set malformed if a field can't be decoded; the values that they
// return from then on are meaningless.
type payloadReader struct {
	unread    []byte
	malformed bool
}

func (f *payloadReader) fail() { f.malformed, f.unread = true, nil }

func (f *payloadReader) varint() int64 {
	v, n := binary.Varint(f.unread)
	if n <= 0 {
		f.fail()
		return 0
	}
	f.unread = f.unread[n:]
	return v
}

func (f *payloadReader) float() float64 {
	if len(f.unread) < 8 {
		f.fail()
		return 0
	}
	v := math.Float64frombits(binary.LittleEndian.Uint64(f.unread))
	f.unread = f.unread[8:]
	return v
}

func (f *payloadReader) str() string {
	size, n := binary.Uvarint(f.unread)
	if n <= 0 || size > uint64(len(f.unread)-n) {
		f.fail()
		return ""
	}
	text := string(f.unread[n : n+int(size)])
	f.unread = f.unread[n+int(size):]
	return text
}
