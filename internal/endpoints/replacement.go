package endpoints

// BeginReplacement begins to replace the list by a complete one: Sweep removes the entries that are not put from here on. A
// replacement in progress is aborted.
func (t *Table) BeginReplacement() {
	t.generation++
	t.replacing = true
	t.sweepSlot = 0
}

// AbortReplacement aborts a replacement, since the complete list ended early or was unreadable: nothing more is removed.
func (t *Table) AbortReplacement() { t.replacing = false }

// Sweep removes entries that the complete list did not contain, once it has ended. It examines at most maxRecords records,
// so that the caller can do other work between the steps; entries put meanwhile stay. It is done when all records have
// been examined, or if no replacement is in progress.
func (t *Table) Sweep(maxRecords int) (removed []Entry, done bool) {
	if !t.replacing {
		return nil, true
	}
	end := min(int(t.sweepSlot)+maxRecords, t.records.len())
	for slot := t.sweepSlot; slot < uint32(end); slot++ {
		r := t.records.at(slot)
		if r.destination != none && r.generation != t.generation {
			removed = append(removed, t.remove(slot))
		}
	}
	t.sweepSlot = uint32(end)
	t.replacing = end < t.records.len()
	return removed, !t.replacing
}
