// Package stand has the stand-ins that the cases of the review share: clients, endpoints and the platform of one relay, and the
// relay's process itself. All of them use loopback addresses.
package stand

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run, with the time since its start.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// NewRecord creates the record at a path, in place of an earlier one.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%10.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close writes the rest of the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
