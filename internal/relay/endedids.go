package relay

import (
	"maps"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/journal"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/handover"
	"milletsail/internal/relay/notifier"
)

const (
	// endedIDOverhead is the memory in bytes of a remembered id beside its text.
	endedIDOverhead = 128
	// maxEndedIDs bounds the remembered ids, which a handover offers all at once.
	maxEndedIDs = 4096
	// keptShare is the share of the memory for messages that withdrawn messages may take up whose ids are kept on disk.
	keptShare = 0.25
)

// endedID is a message that has ended, may have been executed, and must not be executed again if its client submits it again.
type endedID struct {
	id        string
	until     instant.Time // when it is forgotten
	delivered bool
}

// endedIDs remembers messages that have ended, for a limited time and in a limited number: the oldest are forgotten first. The loop
// owns it.
type endedIDs struct {
	byID     map[string]endedID
	order    []string // ids from the oldest on, forgotten ones included
	size     int64    // memory in bytes of byID
	capacity int64
}

// add remembers an id.
func (e *endedIDs) add(ended endedID) {
	if e.byID == nil {
		e.byID = map[string]endedID{}
	}
	if _, known := e.byID[ended.id]; !known {
		e.order = append(e.order, ended.id)
		e.size += ended.memorySize()
	}
	e.byID[ended.id] = ended
	e.expire(clock.Now())
}

// expire forgets the ids whose time is over, and the oldest ones if there are too many.
func (e *endedIDs) expire(now instant.Time) {
	for len(e.order) > 0 {
		oldest := e.byID[e.order[0]]
		if oldest.until > now && e.size <= e.capacity && len(e.order) <= maxEndedIDs {
			return
		}
		e.size -= oldest.memorySize()
		delete(e.byID, e.order[0])
		e.order = e.order[1:]
	}
}

// memorySize returns the memory in bytes that a remembered id takes up.
func (e endedID) memorySize() int64 { return int64(endedIDOverhead + 2*len(e.id)) }

// get returns the remembered message with an id.
func (e *endedIDs) get(id string) (endedID, bool) {
	ended, ok := e.byID[id]
	return ended, ok && ended.until > clock.Now()
}

// rememberedUntil returns how long the id of a message is remembered: for the deadline of its class after the message has expired.
func (l *loop) rememberedUntil(m *message) instant.Time {
	class := l.classIndex(m.Class)
	if class < 0 {
		return m.ExpiresAt
	}
	return max(m.ExpiresAt, clock.Now()).Add(l.cfg.Policy.Classes[class].Deadline)
}

// remember remembers the id of a message that has ended, if it may have been executed and must not be executed again.
func (l *loop) remember(m *message) {
	if l.mayHaveExecuted(m) {
		l.ended.add(endedID{id: m.ID, until: l.rememberedUntil(m), delivered: m.delivered})
	}
}

// keepWithdrawn ends a withdrawn message that may have been executed but keeps its journal entry, with a notification that only a
// following process would send: that process does not execute the message again, whether it follows a crash or a handover. It
// reports false if the entries that are kept take up too much already.
func (l *loop) keepWithdrawn(m *message) bool {
	if l.journal.Get(m.ID) != m.Entry || !l.keptMemory.TryAcquire(messageSize(m.Entry)) {
		return false
	}
	m.ended, m.keptUntil = true, l.rememberedUntil(m)
	l.countEnded(m)
	l.journal.RecordPendingNotification(m.Entry, journal.Notification{ID: m.ID, Status: notifier.StatusUndeliverable})
	return true
}

// releaseKept completes the withdrawn messages whose ids need not be remembered any longer.
func (l *loop) releaseKept() {
	now := clock.Now()
	l.ended.expire(now)
	for _, m := range l.messages {
		if m.keptUntil.IsZero() || m.keptUntil > now {
			continue
		}
		l.stopKeeping(m)
	}
}

// stopKeeping completes a message that keepWithdrawn has kept.
func (l *loop) stopKeeping(m *message) {
	l.keptMemory.Release(messageSize(m.Entry))
	m.keptUntil = 0
	l.complete(m)
}

// idle reports whether no message is left but those that are kept for their ids alone.
func (l *loop) idle() bool {
	for _, m := range l.messages {
		if m.keptUntil.IsZero() || m.cancel != nil {
			return false
		}
	}
	return true
}

// answerEnded answers the submission of a message that has ended before.
func answerEnded(s *frontend.Submission, ended endedID) {
	s.Response <- frontend.Response{Status: endedStatus(ended.delivered)}
}

// offerEnded returns the remembered ids for the offer to a successor.
func (l *loop) offerEnded(link *handover.Link) (offered []handover.EndedMessage) {
	for ended := range maps.Values(l.ended.byID) {
		offered = append(offered, handover.EndedMessage{ID: ended.id, Until: link.WallTime(ended.until), Delivered: ended.delivered})
	}
	return offered
}

// restoreEnded remembers the ids that a predecessor remembered.
func (l *loop) restoreEnded(link *handover.Link, offered []handover.EndedMessage) {
	for _, ended := range offered {
		l.ended.add(endedID{id: ended.ID, until: link.Instant(ended.Until), delivered: ended.Delivered})
	}
}
