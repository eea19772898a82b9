package journal

import (
	"slices"
)

// state is the result of applying records in their order.
type state struct {
	entries        map[string]*Entry       // live entries by ID
	bySeq          map[uint64]*Entry       // live entries by the sequence of the record that accepted them
	order          []*Entry                // entries as accepted; completed ones stay until the next compaction
	health         map[string]HealthRecord // by name of the endpoint
	legacyList     LegacyEndpointList
	legacyListSize int // disk space reserved for the legacy list, in bytes
	liveSize       int // disk space reserved for the live entries, their later records and the legacy list, in bytes
}

func newState() *state {
	return &state{entries: map[string]*Entry{}, bySeq: map[uint64]*Entry{}, health: map[string]HealthRecord{}}
}

// apply applies one record to the state. A record that refers to an unknown entry has no effect.
func (s *state) apply(r *record) {
	switch r.op {
	case opAccepted, opSnapshotEntry:
		s.add(r.entry, r.entrySeq)
	case opHealth:
		s.health[r.host] = HealthRecord{Ejected: r.ejected, ChangedAt: r.at}
	case opLegacyList:
		s.liveSize -= s.legacyListSize
		s.legacyList, s.legacyListSize = r.legacyList, max(len(r.legacyList.Text), r.legacyList.Endpoints*endpointReserve)
		s.liveSize += s.legacyListSize
	default:
		if e := s.bySeq[r.entrySeq]; e != nil {
			s.update(e, r)
		}
	}
}

// add adds an entry, which replaces a live entry with the same ID.
func (s *state) add(e *Entry, seq uint64) {
	e.seq = seq
	if previous := s.entries[e.ID]; previous != nil {
		s.remove(previous)
	}
	s.entries[e.ID], s.bySeq[seq] = e, e
	s.order = append(s.order, e)
	s.liveSize += requiredSize(e)
}

// update applies a record to the live entry that it refers to.
func (s *state) update(e *Entry, r *record) {
	switch r.op {
	case opAttemptStarted:
		e.Attempts = append(e.Attempts, Attempt{Host: r.host, StartedAt: r.at})
	case opAttemptEnded:
		if n := len(e.Attempts); n > 0 {
			e.Attempts[n-1].Ended, e.Attempts[n-1].NotExecuted = true, r.notExecuted
		}
	case opNotificationPending:
		e.PendingNotification = &Notification{ID: e.ID, Status: r.notification.Status, RetryAfterMS: r.notification.RetryAfterMS}
	case opCompleted:
		s.remove(e)
	}
}

// remove removes a live entry.
func (s *state) remove(e *Entry) {
	delete(s.entries, e.ID)
	delete(s.bySeq, e.seq)
	s.liveSize -= requiredSize(e)
}

// liveEntries returns the live entries in the order in which they were accepted.
func (s *state) liveEntries() []*Entry {
	return slices.DeleteFunc(slices.Clone(s.order), func(e *Entry) bool { return s.entries[e.ID] != e })
}

// addUncertainAttempt adds an uncertain attempt to an entry whose records may be missing: an endpoint may have executed
// the request at any time since it was accepted. An entry with a pending notification is left as it is, since it is not
// attempted again.
func addUncertainAttempt(e *Entry) {
	if e.PendingNotification == nil {
		e.Attempts = append(e.Attempts, Attempt{StartedAt: e.AcceptedAt, Uncertain: true})
	}
}

// addUncertainAttempts adds an uncertain attempt to each live entry without a pending notification.
func (s *state) addUncertainAttempts() {
	for _, e := range s.entries {
		addUncertainAttempt(e)
	}
}

// inferMissing changes the state by the effects that missing records may have had. The digest of the last one identifies
// its operation and its entry, so its effect is applied; the others may have started attempts, unless they are part of a
// snapshot. It returns the name of the last record's operation.
func (s *state) inferMissing(missing uint64, lastDigest uint32, inSnapshot bool) (lastRecord string) {
	if missing == 0 {
		return ""
	}
	lastOp := op(lastDigest >> digestOpShift)
	if missing > 1 && !inSnapshot {
		s.addUncertainAttempts()
	}
	for seq, e := range s.bySeq {
		if uint32(seq)&digestSeqMask != lastDigest&digestSeqMask {
			continue
		}
		switch lastOp {
		case opAttemptStarted:
			if missing == 1 { // if several are missing, addUncertainAttempts has added the uncertain attempt
				addUncertainAttempt(e)
			}
		case opNotificationPending:
			e.PendingNotification = &Notification{ID: e.ID, Status: undeliverableStatus}
		case opCompleted:
			s.remove(e)
		}
	}
	return lastOp.String()
}
