// Package compat decides whether two versions of the relay are compatible: which journal formats and gossip formats each
// reads and writes, compared before one version replaces the other.
//
// A version that does not report its formats, or whose report can't be parsed, is an error and never counts as
// compatible. A query of a program is bounded in time and in the size of its output.
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

// Format is the format versions of one kind of data that is stored or sent to other relays.
type Format struct {
	Writes int   `json:"writes"`
	Reads  []int `json:"reads"`
}

// FormatVersions is what a version of the relay reads and writes. Versions query one another in a rollout, so the JSON keys and
// the flag keep the spelling of earlier ones.
type FormatVersions struct {
	Journal Format `json:"journal"`
	Gossip  Format `json:"notes"` // datagrams between relays; one that can't be decoded is ignored
}

// VersionsFlag is the name of the relay's flag that prints its FormatVersions, as JSON on one line, and exits.
const VersionsFlag = "forms"

const (
	// queryTimeout bounds the run of a program that is queried for its formats.
	queryTimeout = 5 * time.Second
	// pipeTimeout is how long to wait for the output to be closed after the program has ended: a child process may keep it
	// open.
	pipeTimeout = time.Second
	// maxOutputSize bounds the buffered output, in bytes.
	maxOutputSize = 4096
)

// QueryProgram runs a relay's program and returns the formats that it reports. The program runs in an empty environment, and
// is killed if it does not exit within queryTimeout.
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

func (b *limitedBuffer) Write(p []byte) (int, error) {
	b.Buffer.Write(p[:min(len(p), max(0, maxOutputSize-b.Len()))])
	return len(p), nil
}

// ErrNoRollback means that the old version can't read the journals that the new one writes.
var ErrNoRollback = errors.New("rollback would not be possible")

// CheckUpgrade returns nil if the version next can replace old and be rolled back, and otherwise the reason. Gossip
// formats are no reason: relays work without gossip, and GossipCompatible reports them.
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

// GossipCompatible reports whether each of two versions can decode the other's gossip datagrams.
func GossipCompatible(a, b FormatVersions) bool {
	return slices.Contains(a.Gossip.Reads, b.Gossip.Writes) && slices.Contains(b.Gossip.Reads, a.Gossip.Writes)
}
