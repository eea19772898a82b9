package rollout

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"strconv"
	"strings"
)

// A record file has one line for each record: the CRC-32C of the JSON in hexadecimal, a space, and the JSON.

// initialLineSize is the minimum size of the buffer for lines of a record file, in bytes.
const initialLineSize = 1 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errChecksum is the error for a record that does not match its checksum.
var errChecksum = errors.New("record does not match its checksum")

// CorruptRecordError is the error for a line of a record file that can't be decoded.
type CorruptRecordError struct {
	Path string
	Line int
	Err  error
}

func (e *CorruptRecordError) Error() string { return fmt.Sprintf("%s:%d: %v", e.Path, e.Line, e.Err) }

// Unwrap returns the cause.
func (e *CorruptRecordError) Unwrap() error { return e.Err }

// writeRecord writes a record as one line.
func writeRecord(w io.Writer, record Record) error {
	text, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%08x %s\n", crc32.Checksum(text, castagnoli), text)
	return err
}

// readRecords reads the records of a file. It ignores an incomplete last line that can't be decoded, and returns a
// *CorruptRecordError for any other such line.
func readRecords(path string) (records []Record, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, max(initialLineSize, len(text)+1))
	completeLines := bytes.Count(text, []byte("\n"))
	for line := 1; scanner.Scan(); line++ {
		record, err := decodeRecord(scanner.Text())
		if err != nil {
			if line > completeLines {
				break // incomplete: the process crashed while it wrote this line
			}
			return nil, &CorruptRecordError{path, line, err}
		}
		records = append(records, record)
	}
	return records, scanner.Err()
}

// decodeRecord decodes one line of a record file and verifies its checksum.
func decodeRecord(line string) (record Record, err error) {
	sum, text, _ := strings.Cut(line, " ")
	want, err := strconv.ParseUint(sum, 16, 32)
	if err != nil {
		return record, err
	}
	if uint32(want) != crc32.Checksum([]byte(text), castagnoli) {
		return record, errChecksum
	}
	err = json.Unmarshal([]byte(text), &record)
	return record, err
}
