package endpoints

import (
	"bufio"
	"encoding/binary"
	"io"
	"math"
)

// readBuffer is the size of the buffer through which a file is read.
const readBuffer = 256 << 10

// recordReader reads the records of a file as long as they are whole.
type recordReader struct {
	from    *bufio.Reader
	sum     uint32 // of the last whole record
	payload []byte
}

func newRecordReader(r io.Reader) (*recordReader, header, error) {
	from := bufio.NewReaderSize(r, readBuffer)
	h, sum, err := readHeader(from)
	return &recordReader{from: from, sum: sum}, h, err
}

// next gives the next record: io.EOF behind the last one, errDamaged where the file is torn or corrupt.
func (r *recordReader) next() (change, error) {
	var head [headSize]byte
	n, err := io.ReadFull(r.from, head[:])
	if n == 0 && err == io.EOF {
		return change{}, io.EOF
	}
	if err != nil {
		return change{}, corrupt("torn record")
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size == 0 || size > maxPayload {
		return change{}, corrupt("impossible length")
	}
	if cap(r.payload) < int(size) {
		r.payload = make([]byte, size)
	}
	r.payload = r.payload[:size]
	if _, err := io.ReadFull(r.from, r.payload); err != nil {
		return change{}, corrupt("torn record")
	}
	sum := recordSum(r.sum, head[:4], r.payload)
	if sum != binary.LittleEndian.Uint32(head[4:]) {
		return change{}, corrupt("wrong checksum")
	}
	c, ok := decodeChange(r.payload)
	if !ok {
		return change{}, corrupt("wrong fields")
	}
	r.sum = sum
	return c, nil
}

// decodeChange reads a payload.
func decodeChange(payload []byte) (c change, ok bool) {
	in := fields{rest: payload[1:]}
	c.operation = payload[0]
	switch c.operation {
	case opPut:
		e := &c.entry
		for _, field := range []*string{&e.Host, &e.Dial, &e.Site, &e.Class, &e.Health} {
			*field = in.text()
		}
		e.Block = int(in.signed())
		e.Share = in.float()
		e.BornMS = in.signed()
	case opDelete:
		c.entry.Host = in.text()
	case opCommit, opEnd:
		c.number = in.signed()
	default:
		return c, false
	}
	return c, !in.bad && len(in.rest) == 0
}

// fields is a payload that is being read. After a failure its values mean nothing.
type fields struct {
	rest []byte
	bad  bool
}

func (f *fields) fail() { f.bad, f.rest = true, nil }

func (f *fields) signed() int64 {
	v, n := binary.Varint(f.rest)
	if n <= 0 {
		f.fail()
		return 0
	}
	f.rest = f.rest[n:]
	return v
}

func (f *fields) float() float64 {
	if len(f.rest) < 8 {
		f.fail()
		return 0
	}
	v := math.Float64frombits(binary.LittleEndian.Uint64(f.rest))
	f.rest = f.rest[8:]
	return v
}

func (f *fields) text() string {
	size, n := binary.Uvarint(f.rest)
	if n <= 0 || size > uint64(len(f.rest)-n) {
		f.fail()
		return ""
	}
	text := string(f.rest[n : n+int(size)])
	f.rest = f.rest[n+int(size):]
	return text
}
