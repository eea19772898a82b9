// Package compat decides whether one version of the relay can replace another, by comparing the journal and gossip formats that
// each of them reads and writes.
//
// A version that does not report its formats, or whose report can't be parsed, is an error and never counts as compatible. The run
// time and the output size of a queried program are limited.
package compat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"slices"
	"time"
)

// Format holds the format versions of one kind of data that is stored or sent to other relays.
type Format struct {
	Writes int   `json:"writes"` // the format version that is written; at least 1
	Reads  []int `json:"reads"`  // all format versions that can be read, including Writes
}

// FormatVersions holds the format versions that a version of the relay reads and writes. Different versions query each other in a
// rollout, so the JSON keys and the name of the flag must not change.
type FormatVersions struct {
	Journal Format `json:"journal"`
	Gossip  Format `json:"notes"` // gossip datagrams between relays; a relay ignores those that it can't decode
}

// VersionsFlag is the name of the relay's flag that prints its FormatVersions, as JSON on one line, and exits.
const VersionsFlag = "forms"

const (
	// queryTimeout limits the run time of a program that is queried for its formats.
	queryTimeout = 5 * time.Second
	// pipeTimeout limits the wait for the output to be closed after the program has ended, since a child process may keep it
	// open.
	pipeTimeout = time.Second
	// maxOutputSize is the maximum size of the buffered output of a program, in bytes.
	maxOutputSize = 4096
)

// QueryProgram runs the relay executable at the path program and returns the formats that it reports. The executable runs with an
// empty environment, and is killed if it does not exit within queryTimeout.
func QueryProgram(ctx context.Context, program string) (versions FormatVersions, err error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, program, "-"+VersionsFlag)
	command.Env = []string{}
	command.WaitDelay = pipeTimeout
	var out limitedBuffer
	command.Stdout = &out
	if err := command.Run(); err != nil {
		return versions, fmt.Errorf("-%s does not report the formats: %w", VersionsFlag, err)
	}
	if err := json.Unmarshal(out.Bytes(), &versions); err != nil {
		return versions, fmt.Errorf("-%s: %w", VersionsFlag, err)
	}
	for _, format := range []Format{versions.Journal, versions.Gossip} {
		if format.Writes < 1 || !slices.Contains(format.Reads, format.Writes) {
			return versions, fmt.Errorf("-%s: invalid format versions %+v", VersionsFlag, format)
		}
	}
	return versions, nil
}

// limitedBuffer keeps the first maxOutputSize bytes written to it and discards the rest.
type limitedBuffer struct{ bytes.Buffer }

// Write reports all of p as written, so that the program does not fail because of the limit.
func (b *limitedBuffer) Write(p []byte) (int, error) {
	b.Buffer.Write(p[:min(len(p), max(0, maxOutputSize-b.Len()))])
	return len(p), nil
}

// ErrNoRollback is returned if the old version can't read the journals that the new version writes.
var ErrNoRollback = errors.New("rollback would not be possible")

// CheckUpgrade returns nil if version next can replace version old and can be rolled back, and otherwise an error with the reason.
// Gossip formats are not compared, because relays work without gossip: see GossipCompatible.
func CheckUpgrade(old, next FormatVersions) error {
	if !slices.Contains(next.Journal.Reads, old.Journal.Writes) {
		return fmt.Errorf("the new version reads journals of the formats %v, and the old one writes %d",
			next.Journal.Reads, old.Journal.Writes)
	}
	if !slices.Contains(old.Journal.Reads, next.Journal.Writes) {
		return fmt.Errorf("%w: the old version reads journals of the formats %v, and the new one writes %d",
			ErrNoRollback, old.Journal.Reads, next.Journal.Writes)
	}
	return nil
}

// GossipCompatible reports whether each of the two versions can decode the gossip datagrams of the other.
func GossipCompatible(a, b FormatVersions) bool {
	return slices.Contains(a.Gossip.Reads, b.Gossip.Writes) && slices.Contains(b.Gossip.Reads, a.Gossip.Writes)
}
