// Package wire converts the simulator's protocol into events of package policy, and actions of package policy into replies. It
// makes no delivery decisions itself.
//
// In both directions, each line is a JSON array whose first value is the name of an event or action. The simulator sends a batch of
// events that ends with "your_turn". The reply holds the actions of all instances and ends with "ready".
package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

const (
	// maxLineSize is the maximum size of one line, in bytes. The longest lines are complete lists of endpoints.
	maxLineSize = 64 << 20
	// initialLineSize is the initial size of the line buffer, in bytes.
	initialLineSize = 64 << 10
)

// Serve reads batches from r and writes a reply to each batch to w, until r ends or a line is invalid. The error for an invalid
// line contains its number, counted from 1.
func Serve(r io.Reader, w io.Writer) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, initialLineSize), maxLineSize)
	out := bufio.NewWriter(w)
	s := newSession()
	for line := 1; scanner.Scan(); line++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		batchEnded, err := s.readLine(scanner.Bytes())
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		if !batchEnded {
			continue
		}
		if _, err := out.Write(s.reply()); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
	return scanner.Err()
}
