package journal

import (
	"errors"
	"fmt"
	"io"

	"milletsail/internal/clock"
)

const (
	// undeliverableStatus is the status of a pending notification whose own record can't be read.
	undeliverableStatus = "undeliverable"
	// unreadableEnd is reported in place of the operation of the last missing record if no valid record follows the damage.
	unreadableEnd = "the end"
)

// segmentReplay is the progress of the replay of one segment.
type segmentReplay struct {
	scanner          *scanner
	state            *state
	report           *Report
	clocks           clock.Pair // clock readings in the segment's header, by which times are converted
	shared           interner   // strings shared by the decoded records
	headerUnreadable bool       // the header can't be read

	lastSequence     uint64 // sequence of the last record that was read
	records          uint64 // number of records applied
	checksum         uint32 // combined checksum of the records applied
	inSnapshot       bool   // the end of the snapshot was not read yet
	snapshotComplete bool   // the end of the snapshot was read, and its record count and checksum match
}

// readSegment replays a segment, and reports whether the segment's snapshot is complete. It returns a *NewerError for a
// newer format, or an error of the file system. Damage is not an error: the report describes it.
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
		return nil, replay.report, false, fmt.Errorf("read %s: %w", name, err)
	}
	replay.report.LastSequence = replay.lastSequence
	if replay.report.Rebooted && !head.survivesPowerLoss || replay.headerUnreadable {
		// The segment was not synced before the reboot, or its header is unreadable and does not tell: any record may be missing.
		replay.state.addUncertainAttempts()
	}
	return replay.state, replay.report, replay.snapshotComplete, nil
}

// begin initializes the replay and its report from the segment's header. If the header is unreadable, the replay accepts
// valid records from any sequence on.
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

// nextFrame returns the next valid record. It skips a damaged range at the scanner's offset and adds it to the report. It
// reports false if no valid record follows.
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

// endUnreadable handles an end of the segment in which no valid record follows the offset. Without a reboot, every write
// that returned is in the file: an interrupted write leaves a torn record, and anything else is later damage. After a
// reboot, any part of the end may be missing, so all of it counts as a torn record.
func (p *segmentReplay) endUnreadable(offset int64, torn bool) {
	length := p.report.Bytes - offset
	if torn || p.report.Rebooted {
		p.report.Torn = length
		return
	}
	p.report.addDamage(Damage{Offset: offset, Length: length, LastRecord: unreadableEnd})
	p.state.addUncertainAttempts()
}

// applyFrame applies the record at the scanner's offset, whose checksum is valid, and advances past it.
func (p *segmentReplay) applyFrame(found frame) {
	sequence := found.sequence()
	var decoded record
	if err := decoded.decodePayload(found.payload(), p.shared, p.clocks); err != nil {
		// The checksum is valid, so the record was not damaged: another program wrote a payload that this one can't decode.
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

// recordGap handles records that are missing before the one at the scanner's offset, whose operation is next and whose
// frame holds lastDigest: it reports them, and changes the state by the effects that they may have had.
func (p *segmentReplay) recordGap(missing uint64, lastDigest uint32, next op) {
	belongsToSnapshot := next == opSnapshotEntry || next == opHealth || next == opLegacyList || next == opSnapshotEnd
	damage := p.report.damageEndingAt(p.scanner.offset)
	damage.FirstSequence, damage.Missing = p.lastSequence+1, missing
	damage.LastRecord = p.state.inferMissing(missing, lastDigest, p.inSnapshot && belongsToSnapshot)
}
