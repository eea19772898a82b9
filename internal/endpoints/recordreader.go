package endpoints

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"math"
)

// readBuffer is the size of the buffer through which a file is read, in bytes.
const readBuffer = 256 << 10

// recordReader reads the records of a file up to the first torn or corrupt one.
type recordReader struct {
	source   *bufio.Reader
	checksum uint32 // of the last valid record
	payload  []byte
}

func newRecordReader(r io.Reader) (*recordReader, header, error) {
	from := bufio.NewReaderSize(r, readBuffer)
	h, sum, err := readHeader(from)
	return &recordReader{source: from, checksum: sum}, h, err
}

// next returns the next record. It returns io.EOF behind the last one, and an error that wraps errDamaged if the file is torn
// or corrupt.
func (r *recordReader) next() (change, error) {
	var head [recordHeaderSize]byte
	n, err := io.ReadFull(r.source, head[:])
	if n == 0 && errors.Is(err, io.EOF) {
		return change{}, io.EOF
	}
	if err != nil {
		return change{}, corrupt("torn record")
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size == 0 || size > maxPayloadSize {
		return change{}, corrupt("impossible length")
	}
	if cap(r.payload) < int(size) {
		r.payload = make([]byte, size)
	}
	r.payload = r.payload[:size]
	if _, err := io.ReadFull(r.source, r.payload); err != nil {
		return change{}, corrupt("torn record")
	}
	sum := recordSum(r.checksum, head[:4], r.payload)
	if sum != binary.LittleEndian.Uint32(head[4:]) {
		return change{}, corrupt("wrong checksum")
	}
	c, ok := decodeChange(r.payload)
	if !ok {
		return change{}, corrupt("wrong fields")
	}
	r.checksum = sum
	return c, nil
}

// decodeChange decodes a payload. It reports false if the payload is malformed.
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

// payloadReader decodes the fields of a payload. Once malformed is set, the values that it returns are meaningless.
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
