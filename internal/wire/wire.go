// Package wire converts between the simulator's protocol and package policy. It decides nothing.
//
// Both directions are lines with a JSON array each, whose first value is the name of the event or action. The simulator ends
// a batch of events with "your_turn", and gets the actions of all instances, ended by "ready".
package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

const (
	// maxLineSize is the maximum size of one line, in bytes. A complete list of endpoints is the longest.
	maxLineSize = 64 << 20
	// initialLineSize is the initial size of the line buffer, in bytes.
	initialLineSize = 64 << 10
)

// Serve reads batches from r and writes a reply to each to w, until r ends or a line is invalid. The error names the line.
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
