package relay

import (
	"log/slog"

	"milletsail/internal/journal"
	"milletsail/internal/relay/config"
	"milletsail/internal/relay/memory"
)

// messageOverhead is the memory in bytes of a message in the table beside its id, key and body: its journal entry, the policy's state
// and the maps that hold them.
const messageOverhead = 1536

// copiesOfMessage is how often a message is in memory: in the table, and in the snapshot that the journal writes.
const copiesOfMessage = 2

// messageSize returns the memory in bytes that a message takes up while it is in the table.
func messageSize(e *journal.Entry) int64 {
	return int64(messageOverhead + copiesOfMessage*(len(e.ID)+len(e.Key)+len(e.Body)))
}

// memoryLimits returns the limits that a plan divides, for an endpoint list of the given length.
func memoryLimits(cfg *config.Config, endpoints int) memory.Limits {
	return memory.Limits{MemoryMB: cfg.Limits.MemoryMB, DiskMB: cfg.Limits.DiskMB, ListBytes: int64(endpoints) * memory.EndpointSize}
}

// applyPlan divides the memory limit among the holders again: for this process alone, or for each of the two processes of a
// handover.
func (l *loop) applyPlan(inHandover bool) {
	limits := memoryLimits(l.cfg, l.endpoints.table.Len())
	l.plannedFor = planInput{inHandover, limits.ListBytes}
	plan := memory.Alone(limits)
	if inHandover {
		plan = memory.InHandover(limits)
	}
	l.clients.ApplyPlan(plan)
	l.pool.Memory.Resize(plan.Share(memory.Calls))
	l.pool.SetCapacity(idleCapacity(l.cfg, plan))
	l.messageMemory.Resize(plan.Share(memory.Messages))
	l.keptMemory.Resize(int64(keptShare * float64(plan.Share(memory.Messages))))
	l.ended.capacity = plan.Share(memory.EndedIDs)
	if l.cfg.SetSoftMemoryLimit != nil {
		l.cfg.SetSoftMemoryLimit(plan.SoftLimit)
	}
	slog.Info("memory divided", "in_handover", inHandover, "soft_limit", plan.SoftLimit, "connections",
		plan.Share(memory.Connections)/memory.ConnectionSize, "input", plan.Share(memory.Input), "messages", plan.Share(memory.Messages),
		"calls", plan.Share(memory.Calls))
}

// planInput is what a plan depends on, apart from the configuration.
type planInput struct {
	inHandover bool
	listBytes  int64
}

// minListChange is the change of the endpoint list's memory, in bytes, from which on the memory is divided again.
const minListChange = 64 << 10

// updatePlan divides the memory again if the endpoint list has grown or shrunk.
func (l *loop) updatePlan() {
	change := int64(l.endpoints.table.Len())*memory.EndpointSize - l.plannedFor.listBytes
	if max(change, -change) >= minListChange {
		l.applyPlan(l.plannedFor.inHandover)
	}
}

// addMessage adds a message to the table, even beyond the memory for messages.
func (l *loop) addMessage(m *message) {
	l.messageMemory.Acquire(messageSize(m.Entry))
	l.messages[m.ID] = m
}

// removeMessage removes a message from the table.
func (l *loop) removeMessage(m *message) {
	if l.messages[m.ID] == m {
		l.messageMemory.Release(messageSize(m.Entry))
		delete(l.messages, m.ID)
	}
}

// releaseTransferred frees the messages that a successor now has, apart from those with a call in flight. It runs after the handover,
// when the journal is closed. The successor also has those whose call is not begun yet.
func (l *loop) releaseTransferred() {
	for _, m := range l.messages {
		if !m.begun {
			l.removeMessage(m)
			m.Body = nil // the closed journal still has the entry
		}
	}
}
