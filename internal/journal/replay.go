package journal

import (
	"errors"
	"fmt"
	"io"

	"milletsail/internal/clock"
)

const (
	// undeliverableStatus is the status of a notification whose record is missing.
	undeliverableStatus = "undeliverable"
	// unreadableEnd stands for the operation of the last missing record where no valid record follows the damage.
	unreadableEnd = "the end"
)

// segmentReplay replays one segment.
type segmentReplay struct {
	scanner          *scanner
	state            *state
	report           *Report
	clocks           clock.Pair
	shared           interner
	headerUnreadable bool // the header can't be read

	lastSequence     uint64
	records          uint64 // number of records applied
	checksum         uint32 // their combined checksum
	inSnapshot       bool   // the snapshot's end is still to come
	snapshotComplete bool
}

// readSegment replays a segment. It reports whether the segment's snapshot is complete. It returns a *NewerError for a
// newer format, and otherwise errors of the file system alone: damage is described by the report.
func readSegment(source io.Reader, size int64, name string, boot string) (s *state, r *Report, complete bool, err error) {
	replay := segmentReplay{
		scanner:    &scanner{source: source, size: size},
		state:      newState(),
		report:     &Report{File: name, Bytes: size},
		shared:     interner{},
		inSnapshot: true,
	}
	head, err := replay.scanner.readHeader(name)
	if newer := new(NewerError); errors.As(err, &newer) {
		return nil, replay.report, false, err
	}
	replay.begin(head, err != nil, boot)
	for replay.scanner.remaining() > 0 && replay.scanner.err == nil {
		found, ok := replay.nextFrame()
		if !ok {
			break
		}
		replay.applyFrame(found)
	}
	if err := replay.scanner.err; err != nil {
		return nil, replay.report, false, fmt.Errorf("%s: %w", name, err)
	}
	replay.report.LastSequence = replay.lastSequence
	if replay.report.Rebooted && !head.survivesPowerLoss || replay.headerUnreadable {
		// Nothing was synced, or that is unknown: any record may be missing.
		replay.state.addUncertainAttempts()
	}
	return replay.state, replay.report, replay.snapshotComplete, nil
}

// begin takes over what the segment's header says. A headless one is replayed as far as its records are valid.
func (p *segmentReplay) begin(head header, headless bool, boot string) {
	p.headerUnreadable = headless
	p.clocks = head.clocks
	if p.clocks == (clock.Pair{}) {
		p.clocks = wallClockOnly
	}
	if !headless {
		p.lastSequence = head.firstSequence - 1
	}
	r := p.report
	r.Format, r.Relay, r.SurvivesPowerLoss, r.Boot = Format, head.relay, head.survivesPowerLoss, head.boot
	r.segment, r.clocks = head.segment, head.clocks
	r.Rebooted = head.boot != "" && boot != "" && head.boot != boot
}

// nextFrame returns the next valid record, behind a damaged range if there is one at the offset. It reports false if no
// valid record follows.
func (p *segmentReplay) nextFrame() (frame, bool) {
	if found, ok := p.scanner.frame(); ok && found.sequence() > p.lastSequence {
		return found, true
	}
	start, torn := p.scanner.offset, p.scanner.atTornRecord()
	if !p.scanner.resync(p.lastSequence) {
		p.endUnreadable(start, torn)
		return nil, false
	}
	p.report.addDamage(Damage{Offset: start, Length: p.scanner.offset - start})
	return p.scanner.frame()
}

// endUnreadable takes into account that no valid record follows an offset. As long as the machine runs, each write that
// returned is there: then only an interrupted one leaves a torn record, and anything else was damaged later. After a
// reboot, the end may be missing in any way.
func (p *segmentReplay) endUnreadable(offset int64, torn bool) {
	length := p.report.Bytes - offset
	if torn || p.report.Rebooted {
		p.report.Torn = length
		return
	}
	p.report.addDamage(Damage{Offset: offset, Length: length, LastRecord: unreadableEnd})
	p.state.addUncertainAttempts()
}

// applyFrame applies a valid record and advances behind it.
func (p *segmentReplay) applyFrame(found frame) {
	sequence := found.sequence()
	var decoded record
	if err := decoded.decodePayload(found.payload(), p.shared, p.clocks); err != nil {
		// The checksum is valid, so another program wrote an operation that this one does not know.
		p.report.addDamage(Damage{
			Offset:        p.scanner.offset,
			Length:        int64(len(found)),
			FirstSequence: sequence,
			Missing:       1,
			LastRecord:    err.Error(),
		})
		p.state.addUncertainAttempts()
		p.lastSequence = sequence
		p.scanner.advance(len(found))
		return
	}
	if gap := sequence - p.lastSequence - 1; gap > 0 && (!p.headerUnreadable || p.records > 0) {
		p.recordGap(gap, found.previousDigest(), decoded.op)
	}
	if decoded.op == opSnapshotEnd {
		p.snapshotComplete = decoded.snapshotRecords == p.records && decoded.snapshotChecksum == p.checksum && !p.headerUnreadable
		p.inSnapshot = false
	} else {
		p.state.apply(&decoded)
	}
	p.records++
	p.checksum = addChecksum(p.checksum, found.checksum())
	p.lastSequence = sequence
	p.report.Records++
	p.scanner.advance(len(found))
}

// recordGap takes into account that records are missing in front of the one at the offset.
func (p *segmentReplay) recordGap(missing uint64, lastDigest uint32, next op) {
	belongsToSnapshot := next == opSnapshotEntry || next == opHealth || next == opLegacyList || next == opSnapshotEnd
	damage := p.report.damageEndingAt(p.scanner.offset)
	damage.FirstSequence, damage.Missing = p.lastSequence+1, missing
	damage.LastRecord = p.state.inferMissing(missing, lastDigest, p.inSnapshot && belongsToSnapshot)
}
